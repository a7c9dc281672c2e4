import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Declaration, DeclarationKey } from '../../src/core/configuration/declaration.js';
import { keyOf } from '../../src/core/configuration/declaration.js';
import { ConfigurationReplica } from '../../src/core/configuration/replica.js';
import type { ConfigurationEntry } from '../../src/core/configuration/store-layout.js';
import { declared, TEMPLATE_YAML, tenantYaml } from '../support/declarations.js';

const TENANTS = ['a', 'b', 'c'];

interface Change {
  readonly key: DeclarationKey;
  /** Null for a tombstone. */
  readonly declaration: Declaration | null;
}

function changeOf(text: string): Change {
  const [located] = declared(text);
  if (located === undefined) throw new Error('no declaration');
  return { key: keyOf(located.declaration), declaration: located.declaration };
}

const tenantArbitrary = fc.constantFrom(...TENANTS);
const changeArbitrary: fc.Arbitrary<Change> = fc.oneof(
  fc.integer({ min: 1, max: 100 }).map((maximum) => {
    return changeOf(TEMPLATE_YAML.replace('maximum: 100', `maximum: ${maximum}`));
  }),
  fc
    .tuple(tenantArbitrary, fc.integer({ min: 1, max: 100 }), tenantArbitrary)
    .map(([name, connections, user]) => changeOf(tenantYaml(name, connections, user))),
  tenantArbitrary.map((name): Change => ({ key: `tenant/${name}`, declaration: null })),
);

test('a snapshot updated change by change equals that of a new replica', () => {
  fc.assert(
    fc.property(fc.array(changeArbitrary, { maxLength: 20 }), (changes) => {
      const kept = new ConfigurationReplica();
      [changeOf(TEMPLATE_YAML), ...changes].forEach(({ key, declaration }, index) => {
        const revision = index + 1;
        const value = JSON.stringify({ version: revision, publishId: 'p', declaration });
        const entry: ConfigurationEntry = { key, revision, value };
        kept.merge({ sinceRevision: index, revision, entries: [entry] });
        const fresh = new ConfigurationReplica();
        fresh.merge(kept.changesSince(0));
        assert.equal(kept.snapshot(), fresh.snapshot());
      });
    }),
    { seed: 20_261_202, numRuns: 100 },
  );
});

test.run();
