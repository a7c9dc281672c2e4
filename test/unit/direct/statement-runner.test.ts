/** When a statement without a target waits, and for what. */
import { err } from 'neverthrow';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { InstanceConnectError } from '../../../src/direct/errors.js';
import type { PrimaryView } from '../../../src/direct/promotion/contract.js';
import type { InstanceRuntime, ServiceRuntime } from '../../../src/direct/service-runtime.js';
import { type StatementRequest, StatementRunner } from '../../../src/direct/statement-runner.js';
import type { Placement } from '../../../src/direct/target-chooser.js';
import type { TrustProver } from '../../../src/direct/trust-prover.js';
import type { StatementWire } from '../../../src/direct/wire.js';

const TARGET_LATENCY_MS = 100;
const DEADLINE_MS = 1000;

/** Pauses of the code under test don't keep the process alive by themselves. */
const keepAlive = setInterval(() => {}, 1000);
test.after(() => clearInterval(keepAlive));

interface Situation {
  readonly runner: StatementRunner;
  readonly placement: Placement;
  readonly proofs: () => number;
}

function primaryView(isTrusted: boolean): PrimaryView {
  return {
    primaryOf: () => undefined,
    watchesPrimaries: false,
    mayTrustPrimary: () => isTrusted,
    confirmPrimary: () => Promise.resolve(true),
    isChanging: () => !isTrusted,
    onChange: () => {},
    reportPrimaryFailure: () => {},
    reportPrimarySuccess: () => {},
    liveNodeCount: () => 1,
    ownerRoster: () => undefined,
  };
}

/** A primary whose lease has lapsed and whose members all answer, so that every proof succeeds. */
function withoutLease(answersNothing: boolean): Situation {
  let proofs = 0;
  const prover = {
    covers: () => false,
    prove: () => {
      proofs += 1;
      return Promise.resolve(true);
    },
  } as unknown as TrustProver;
  const primary = {
    id: 'primary',
    pool: { isStalled: () => answersNothing, answersNothing: () => answersNothing },
  } as unknown as InstanceRuntime;
  const service = { name: 'ledger', primary: () => primary } as unknown as ServiceRuntime;
  const view = primaryView(false);
  const wire = {} as unknown as StatementWire;
  const runner = new StatementRunner({ wire, view, prover, now: () => 0, random: () => 0 });
  const placement = {
    access: 'write',
    isTransaction: true,
    service,
    beganAt: 0,
    route: { targetLatencyMs: TARGET_LATENCY_MS },
    session: { values: new Map(), lastWritten: undefined },
  } as unknown as Placement;
  return { runner, placement, proofs: () => proofs };
}

test('a primary that can be proven is asked for a proof at once', async () => {
  const { runner, placement, proofs } = withoutLease(false);
  assert.is(await runner.awaitTarget(placement), true);
  assert.is(proofs(), 1);
});

test('no proof is sought of a primary that answers nothing: it would help nobody, over and over', async () => {
  const { runner, placement, proofs } = withoutLease(true);
  for (let round = 0; round < 3; round += 1) await runner.awaitTarget(placement);
  assert.is(proofs(), 0);
});

test('a read whose only instance fails at once does not try it without end', async () => {
  let time = 0;
  let openings = 0;
  const pool = {
    instance: { id: 'primary' },
    outstanding: 0,
    avoidUntil: 0,
    patienceMs: 250,
    isStalled: () => false,
    answersNothing: () => false,
    acquire: () => {
      time += 1;
      openings += 1;
      return Promise.resolve(err(new InstanceConnectError('refused', undefined)));
    },
  };
  const primary = { id: 'primary', pool, isUsable: () => true } as unknown as InstanceRuntime;
  const service = {
    name: 'ledger',
    primary: () => primary,
    readable: () => [primary, { id: 'replica-1' }, { id: 'replica-2' }],
    samples: { requiredAt: () => undefined },
  } as unknown as ServiceRuntime;
  const runner = new StatementRunner({
    wire: {} as unknown as StatementWire,
    view: primaryView(true),
    prover: { covers: () => true } as unknown as TrustProver,
    now: () => time,
    random: () => 0,
  });
  const outcome = await runner.run({
    access: 'read',
    service,
    beganAt: 0,
    deadline: DEADLINE_MS,
    route: { targetLatencyMs: TARGET_LATENCY_MS, consistency: 'primary', maxStalenessMs: 0 },
    session: { values: new Map(), lastWritten: undefined },
  } as unknown as StatementRequest);
  assert.is(outcome.type, 'refused');
  assert.ok(openings < TARGET_LATENCY_MS);
});

test.run();
