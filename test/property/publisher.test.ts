import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type DeclarationKey, keyOf } from '../../src/core/configuration/declaration.js';
import { PublishConflictError } from '../../src/core/configuration/errors.js';
import {
  liveRevisionOf,
  MAX_HISTORY_VERSIONS,
  type ProposedChange,
  type PublishedState,
  type PublishRequest,
} from '../../src/core/configuration/publish.js';
import { currentKeyOf, publishKeyOf } from '../../src/core/configuration/store-layout.js';
import { type PublishError, Publisher } from '../../src/node/configuration/publisher.js';
import { declared, TEMPLATE_YAML, tenantYaml } from '../support/declarations.js';
import { MemoryStore, type StoreFault } from '../support/memory-store.js';
import { seededRandom } from '../support/random.js';

const SEED = 20_261_202;

function createPublisher(store: MemoryStore, random: () => number, attempts?: number): Publisher {
  const wait = () => yieldTurns(Math.floor(random() * 5));
  return new Publisher({ store, random, wait, ...(attempts === undefined ? {} : { attempts }) });
}

/** Yields to other pending promises `count` times. */
async function yieldTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await Promise.resolve();
}

function putsOf(...texts: string[]): ProposedChange[] {
  return declared(...texts).map((located) => ({ type: 'put', located }));
}

function requestOf(
  publishId: string,
  changes: readonly ProposedChange[],
  basis: PublishedState | undefined,
): PublishRequest {
  const keys = changes.map((change) =>
    change.type === 'put' ? keyOf(change.located.declaration) : change.key,
  );
  const expectedRevisions = new Map<DeclarationKey, number>(
    basis === undefined ? [] : keys.map((key) => [key, liveRevisionOf(basis, key)]),
  );
  return { publishId, publishedAt: 0, author: 'test', comment: '', changes, expectedRevisions };
}

async function publishInitial(): Promise<{ store: MemoryStore; publisher: Publisher }> {
  const store = new MemoryStore();
  const publisher = createPublisher(store, seededRandom(SEED));
  const changes = putsOf(TEMPLATE_YAML, tenantYaml('a'), tenantYaml('b'));
  (await publisher.publish(requestOf('first', changes, undefined)))._unsafeUnwrap();
  return { store, publisher };
}

interface Operator {
  readonly tenant: 'a' | 'b';
  readonly connections: number;
  readonly startTurns: number;
}

const operatorArbitrary: fc.Arbitrary<Operator> = fc.record({
  tenant: fc.constantFrom('a', 'b'),
  connections: fc.integer({ min: 1, max: 100 }),
  startTurns: fc.nat({ max: 30 }),
});
const faultArbitrary: fc.Arbitrary<StoreFault> = fc.constantFrom(
  'none',
  'none',
  'down',
  'lost-before',
  'lost-after',
);

test('concurrent operators with lost responses: every accepted publish is applied exactly once', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(operatorArbitrary, { minLength: 2, maxLength: 6 }),
      fc.array(faultArbitrary, { maxLength: 60 }),
      fc.integer(),
      async (operators, faults, seed) => {
        const { store } = await publishInitial();
        const random = seededRandom(seed);
        const remaining = [...faults];
        store.nextFault = () => remaining.shift() ?? 'none';
        store.delay = () => yieldTurns(Math.floor(random() * 8));
        const runs = operators.map((operator, index) => race(store, random, operator, index));
        const outcomes = await Promise.all(runs);
        outcomes.forEach((outcome, index) => {
          assertAppliedOnce(store, `operator-${index}`, outcome);
        });
        assertLinear(store);
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

type RaceOutcome = 'changed' | 'unchanged' | PublishError['code'];

async function race(
  store: MemoryStore,
  random: () => number,
  operator: Operator,
  index: number,
): Promise<RaceOutcome> {
  await yieldTurns(operator.startTurns);
  const publisher = createPublisher(store, random, 6);
  const basis = await publisher.read();
  if (basis.isErr()) return basis.error.code;
  const changes = putsOf(tenantYaml(operator.tenant, operator.connections));
  const request = requestOf(`operator-${index}`, changes, basis.value);
  const first = await publisher.publish(request);
  // An operator retries once if the outcome is unknown or the store is down.
  const last = first.isErr() ? await publisher.publish(request) : first;
  return last.match(
    ({ changed }) => (changed ? 'changed' : 'unchanged'),
    ({ code }) => code,
  );
}

function assertAppliedOnce(store: MemoryStore, publishId: string, outcome: RaceOutcome): void {
  const times = store.applied.filter(({ keys }) => keys.includes(publishKeyOf(publishId))).length;
  if (outcome === 'MS-PUBLISH-UNKNOWN') assert.ok(times <= 1);
  else assert.is(times, outcome === 'changed' ? 1 : 0, `${publishId}: ${outcome}`);
}

/** Asserts that the versions of each name, in the order of the store, are 1, 2, 3, … */
function assertLinear(store: MemoryStore): void {
  for (const name of ['a', 'b'] as const) {
    const prefix = `meadowstack/configuration/history/tenant/${name}/`;
    const versions = store.applied.flatMap(({ keys }) =>
      keys.filter((key) => key.startsWith(prefix)).map((key) => Number(key.slice(prefix.length))),
    );
    assert.equal(
      versions,
      versions.map((_, index) => index + 1),
    );
    const current = JSON.parse(store.entries.get(currentKeyOf(`tenant/${name}`))?.value ?? '{}');
    assert.is(current.version, versions.length);
  }
}

test('after a lost response the outcome is found by the publish id', async () => {
  const { store, publisher } = await publishInitial();
  const basis = (await publisher.read())._unsafeUnwrap();
  const faults: StoreFault[] = ['none', 'none', 'lost-after'];
  store.nextFault = () => faults.shift() ?? 'none';
  const request = requestOf('again', putsOf(tenantYaml('a', 50)), basis);
  const outcome = (await publisher.publish(request))._unsafeUnwrap();
  assert.is(outcome.alreadyApplied, true);
  assert.is(outcome.revision, store.revision);
  assert.equal((await publisher.publish(request))._unsafeUnwrap(), outcome);
  assert.is(store.applied.length, 2);
});

test('an unknown outcome is reported as unknown', async () => {
  const { store } = await publishInitial();
  const publisher = createPublisher(store, seededRandom(1), 3);
  const faults: StoreFault[] = ['none', 'none', 'lost-after'];
  store.nextFault = () => faults.shift() ?? 'down';
  const outcome = await publisher.publish(requestOf('x', putsOf(tenantYaml('a', 50)), undefined));
  assert.is(outcome._unsafeUnwrapErr().code, 'MS-PUBLISH-UNKNOWN');
});

test('a conflict shows both versions and applies nothing', async () => {
  const { store, publisher } = await publishInitial();
  const basis = (await publisher.read())._unsafeUnwrap();
  (await publisher.publish(requestOf('one', putsOf(tenantYaml('a', 1)), basis)))._unsafeUnwrap();
  const changes = putsOf(tenantYaml('a', 2), tenantYaml('b', 2));
  const lost = await publisher.publish(requestOf('two', changes, basis));
  const error = lost._unsafeUnwrapErr();
  assert.instance(error, PublishConflictError);
  if (!(error instanceof PublishConflictError)) return;
  assert.is(error.conflicts.length, 1);
  assert.match(JSON.stringify(error.conflicts[0]?.current), /"connections":1\b/);
  assert.match(JSON.stringify(error.conflicts[0]?.proposed), /"connections":2\b/);
  assert.is(store.applied.length, 2);
});

test('a template change or removal that invalidates a tenant is rejected, naming tenant and field', async () => {
  const { publisher } = await publishInitial();
  const narrower = putsOf(TEMPLATE_YAML.replace('maximum: 100', 'maximum: 15').replace('20', '5'));
  const refused = await publisher.publish(requestOf('n', narrower, undefined));
  assert.match(refused._unsafeUnwrapErr().message, /tenant\/a: parameters.connections: expected/);
  assert.match(refused._unsafeUnwrapErr().message, /tenant\/b: parameters.connections: expected/);
  const removal: ProposedChange = { type: 'remove', key: 'template/standard' };
  const kept = await publisher.publish(requestOf('r', [removal], undefined));
  assert.match(kept._unsafeUnwrapErr().message, /tenant\/a: template: expected a template/);
});

test('history is bounded, and the versions of a removed name continue', async () => {
  const { store, publisher } = await publishInitial();
  for (let connections = 1; connections <= MAX_HISTORY_VERSIONS + 5; connections += 1) {
    const changes = putsOf(tenantYaml('a', connections));
    (await publisher.publish(requestOf(`p${connections}`, changes, undefined)))._unsafeUnwrap();
  }
  const removal: ProposedChange = { type: 'remove', key: 'tenant/a' };
  (await publisher.publish(requestOf('gone', [removal], undefined)))._unsafeUnwrap();
  const history = (await publisher.history('tenant/a'))._unsafeUnwrap();
  assert.is(history.length, MAX_HISTORY_VERSIONS);
  assert.is(history.at(-1)?.declaration, null);
  const state = (await publisher.read())._unsafeUnwrap();
  assert.is(liveRevisionOf(state, 'tenant/a'), 0);
  const back = requestOf('back', putsOf(tenantYaml('a', 7)), state);
  (await publisher.publish(back))._unsafeUnwrap();
  const [, last] = (await publisher.history('tenant/a'))._unsafeUnwrap().slice(-2);
  assert.is(last?.version, MAX_HISTORY_VERSIONS + 8);
  assert.is(store.applied.at(-1)?.revision, store.revision);
});

test('publishing the current configuration changes nothing', async () => {
  const { store, publisher } = await publishInitial();
  const outcome = await publisher.publish(requestOf('same', putsOf(tenantYaml('a')), undefined));
  assert.is(outcome._unsafeUnwrap().changed, false);
  assert.is(store.applied.length, 1);
});

test.run();
