/** `npm run dev`: the first line describes all addresses, faults are started by name, and SIGINT stops the cluster. */
import pg from 'pg';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { startChild } from '../../../bench/harness/child-process.js';

const address = z.string().regex(/^[\d.]+:\d+$/);
const descriptionSchema = z.strictObject({
  proxies: z.array(z.strictObject({ pg: address, admin: address })).min(2),
  instances: z
    .array(z.strictObject({ name: z.string(), group: z.string(), pg: address, control: address }))
    .length(6),
  store: address,
  machines: address,
  control: address,
  tenants: z
    .array(
      z.strictObject({
        name: z.string(),
        user: z.string(),
        password: z.string(),
        database: z.string(),
      }),
    )
    .length(2),
});
type Description = z.output<typeof descriptionSchema>;

async function countGlossary({ proxies, tenants }: Description): Promise<number> {
  const [host, port] = proxies[1]?.pg.split(':') ?? [];
  const { user, password, database } = tenants[0] ?? {};
  const client = new pg.Client({ host, port: Number(port), user, password, database });
  await client.connect();
  try {
    const { rows } = await client.query<{ count: string }>('SELECT count(*) FROM glossary');
    return Number(rows[0]?.count);
  } finally {
    await client.end();
  }
}

test('callers are served, a fault begins and ends, and SIGINT stops all processes', async () => {
  const child = await startChild('bench/dev/main.js', [], descriptionSchema);
  const description = child.announcement;
  const exitCode = new Promise<number | null>((resolve) => child.process.once('exit', resolve));
  try {
    assert.is(await countGlossary(description), 1_000);
    const fault = `http://${description.control}/faults/replica-far-behind`;
    const begun = await fetch(`${fault}?deployment=trust`, { method: 'POST' });
    assert.match(await begun.text(), /"target":"trust-1-/);
    assert.is((await fetch(fault, { method: 'POST' })).status, 409);
    assert.is((await fetch(fault, { method: 'DELETE' })).status, 200);
    const unknown = await fetch(`http://${description.control}/faults/none`, { method: 'POST' });
    assert.is(unknown.status, 404);
  } finally {
    child.process.kill('SIGINT');
  }
  assert.is(await exitCode, 0);
  for (const { control } of description.instances) {
    const answered = await fetch(`http://${control}/state`).then(
      () => true,
      () => false,
    );
    assert.not.ok(answered);
  }
});

test.run();
