/**
 * The leader's promotion call is on its way when its machine is cut off from the platform. The leader gives the call
 * up, another node becomes leader and replaces primaries, and the partition heals.
 */
import { fileURLToPath } from 'node:url';
import {
  Deployment,
  errorOf,
  fieldOf,
  hasTrouble,
  now,
  pause,
  recordLog,
  runCase,
  Session,
  until,
} from '../harness.mjs';

const SERVICE = 'orders';
/** The longest `node_cut` of the site files lasts 12 s. */
const CUT_MS = Number(process.env.CUT_MS ?? 10_000);
const SETTLE_MS = 4000;
const WRITERS_PER_GATEWAY = 2;
const WRITE_PERIOD_MS = 15;

/** Writes until told to stop; keeps each acknowledged write. */
async function writeContinuously(gateway, name, state) {
  let count = 0;
  let session;
  while (!state.isStopped) {
    if (session === undefined || session.isClosed) {
      session = await Session.open(gateway, 'intake', name, state.record).catch(() => undefined);
    }
    count += 1;
    const id = `${name}n${count}`;
    const answer = await session?.query(id, `WRITE t${count % 50} ${id}`);
    const answeredAt = now();
    if (answer !== undefined) {
      const outcome = errorOf(answer) ?? 'acknowledged';
      state.answers.set(outcome, (state.answers.get(outcome) ?? 0) + 1);
      if (outcome === 'acknowledged') {
        const signature = fieldOf(answer, 'COMPLETE');
        state.acknowledged.push({ id, signature, answeredAt, gateway: gateway.name });
      }
    }
    await pause(WRITE_PERIOD_MS);
  }
  session?.end();
}

/** At the next promotion call, cuts the calling gateway off from the store and the promotion endpoint. */
function cutAtNextCall(deployment, record) {
  return new Promise((resolve) => {
    for (const gateway of deployment.gateways) {
      gateway.promotionLink.onFirstBytes = (chunk) => {
        for (const one of deployment.gateways) one.promotionLink.onFirstBytes = () => {};
        gateway.storeLink.cut();
        gateway.promotionLink.cut();
        const [request] = chunk.toString().split('\r\n');
        const token = /fencing-token: (\d+)/i.exec(chunk.toString())?.[1];
        record.write(
          `${gateway.name} is cut off from the platform while it sends ${request} with token ${token}`,
        );
        resolve({ gateway, cutAt: now() });
      };
    }
  });
}

async function primaryId(deployment) {
  const instances = await deployment.instances();
  const primaries = instances.filter(({ role, isRunning }) => role === 'primary' && isRunning);
  return primaries.sort((left, right) => right.term - left.term)[0]?.id;
}

async function drainPrimary(deployment, record, replacementId) {
  const id = await primaryId(deployment);
  record.write(`planned work: ${id} says that it is draining`);
  await deployment.post(`/instances/${id}/drain`, {
    extraMs: 4000,
    replaceAfterMs: 500,
    replacementId,
  });
  return id;
}

function violationsOf(log, acknowledged, cutGateway) {
  const violations = [];
  let highest;
  for (const call of log.promotionCalls) {
    if (highest !== undefined && call.token < highest.token) {
      violations.push(
        `ONE: the platform was sent token ${call.token} by ${call.holder} (promote ${call.id}) after token ${highest.token} of ${highest.holder}`,
      );
    }
    if (highest === undefined || call.token > highest.token) highest = call;
  }
  const runOf = new Map(log.runs.map((run) => [run.signature, run]));
  const [{ entries }] = log.services;
  const kept = new Set(entries.map(({ run }) => run));
  const lost = acknowledged
    .filter(({ gateway }) => gateway !== cutGateway)
    .map((write) => ({ ...write, run: runOf.get(write.signature) }))
    .filter(({ run }) => run !== undefined && !kept.has(run.run));
  for (const effect of log.promotions) {
    // A promoted instance leads on with the log that it had: commits beyond its end are missing from it.
    const missing = lost.filter(
      ({ run, answeredAt }) =>
        answeredAt < effect.at &&
        run.committed.term < effect.leads &&
        run.committed.number > effect.number,
    );
    if (missing.length > 0) {
      violations.push(
        `LOST: ${effect.id}, promoted for term ${effect.leads}, misses ${missing.length} acknowledged commits, such as ${missing[0].id}`,
      );
    }
    const late = lost.filter(
      ({ run }) => run.committedAt > effect.at && run.committed.term < effect.leads,
    );
    if (late.length > 0) {
      violations.push(
        `ONE: ${late.length} writes were committed at ${late[0].run.instance} and acknowledged after ${effect.id} had been promoted, such as ${late[0].id}`,
      );
    }
  }
  return violations;
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record) => {
  const deployment = await Deployment.start(record, {
    services: [SERVICE],
    routes: [{ database: 'intake', service: SERVICE, type: 'primary' }],
  });
  try {
    const state = { isStopped: false, acknowledged: [], answers: new Map(), record };
    const writers = deployment.gateways.flatMap((gateway, index) =>
      Array.from({ length: WRITERS_PER_GATEWAY }, (_, writer) =>
        writeContinuously(gateway, `w${index + 1}x${writer + 1}`, state),
      ),
    );
    await until('writes are acknowledged', () => state.acknowledged.length > 100);
    const cut = hasTrouble ? cutAtNextCall(deployment, record) : undefined;
    const startedAt = now();
    const first = await drainPrimary(deployment, record, 'i-orders-4');
    const promotedBy = async (count) => (await deployment.log()).promotions.length >= count;
    await until('the first primary is replaced', () => promotedBy(1));
    record.write(`${await primaryId(deployment)} has replaced ${first}`);
    await pause(1000);
    const second = await drainPrimary(deployment, record, 'i-orders-5');
    await until('the second primary is replaced', () => promotedBy(2));
    record.write(`${await primaryId(deployment)} has replaced ${second}`);
    if (hasTrouble) {
      record.write(`${second}, still draining and now a replica, receives nothing for a while`);
      await deployment.post(`/instances/${second}/faults`, { isStalled: true });
    }
    const { gateway, cutAt } = (await cut) ?? { cutAt: startedAt };
    await pause(Math.max(0, cutAt + CUT_MS - now()));
    if (gateway !== undefined) {
      record.write(`the partition of ${gateway.name} ends`);
      gateway.storeLink.heal();
      gateway.promotionLink.heal();
    }
    await pause(SETTLE_MS);
    state.isStopped = true;
    await Promise.all(writers);
    const log = await deployment.log();
    recordLog(record, log);
    for (const [answer, count] of state.answers)
      record.write(`callers: ${count} writes: ${answer}`);
    return violationsOf(log, state.acknowledged, gateway?.name);
  } finally {
    await deployment.stop();
  }
});
