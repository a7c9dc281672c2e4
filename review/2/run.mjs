/**
 * The instances' entries tell `born`. The primary crashes for good; a moment later, right after a configuration was
 * acknowledged, all processes of the system are killed, and start again.
 */
import { fileURLToPath } from 'node:url';
import {
  Deployment,
  errorOf,
  hasTrouble,
  now,
  pause,
  recordLog,
  runCase,
  Session,
  until,
} from '../harness.mjs';

const SERVICE = 'orders';
const ROUTES = [{ database: 'intake', service: SERVICE, type: 'primary' }];
const CALLERS_PER_GATEWAY = 3;
const WRITE_PERIOD_MS = 20;
const SERVED_BEFORE_MS = 5000;
const CRASH_TO_FINAL_FAULT_MS = 500;
const DOWN_MS = 700;
/** `recovery_s` of the site. */
const RECOVERY_MS = 12_000;
const OBSERVED_MS = 8000;
const MIN_SHARE = 0.25;

/** Sends writes until told to stop; keeps when each was sent and how it ended. */
async function writeContinuously(gateway, name, state) {
  let session;
  for (let count = 1; !state.isStopped; count += 1) {
    const sentAt = now();
    if (session === undefined || session.isClosed) {
      session = await Session.open(gateway, 'intake', name, state.record).catch(() => undefined);
    }
    const answer = await session?.query(`${name}n${count}`, `WRITE t${count % 50} d${count}`);
    const outcome = answer === undefined ? 'no session' : (errorOf(answer) ?? 'acknowledged');
    state.requests.push({ sentAt, outcome });
    await pause(WRITE_PERIOD_MS);
  }
  session?.end();
}

function countOutcomes(requests) {
  const counts = {};
  for (const { outcome } of requests) counts[outcome] = (counts[outcome] ?? 0) + 1;
  return counts;
}

function servedShare(requests) {
  return requests.filter(({ outcome }) => outcome === 'acknowledged').length / requests.length;
}

async function recordStore(deployment, record) {
  const counts = await deployment.control('GET', '/store/counts');
  const values = await deployment.storeValues();
  record.write(`platform: calls to the store so far ${JSON.stringify(counts)}`);
  record.write(
    `platform: record of the primary ${values[`server-groups/primary/${SERVICE}`] ?? 'none'}`,
  );
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record) => {
  const deployment = await Deployment.start(record, {
    services: [SERVICE],
    standin: 'review/2/platform.mjs',
    routes: ROUTES,
  });
  try {
    const state = { isStopped: false, requests: [], record };
    const callers = deployment.gateways.flatMap((gateway, index) =>
      Array.from({ length: CALLERS_PER_GATEWAY }, (_, caller) =>
        writeContinuously(gateway, `w${index + 1}x${caller + 1}`, state),
      ),
    );
    await until('writes are acknowledged', () => servedShare(state.requests) > 0);
    const startedAt = now();
    await pause(SERVED_BEFORE_MS);
    await recordStore(deployment, record);
    if (hasTrouble) {
      record.write('i-orders-1, the primary, crashes for good');
      await deployment.post('/instances/i-orders-1/crash');
    }
    await pause(CRASH_TO_FINAL_FAULT_MS);
    await deployment.publish(ROUTES);
    const before = state.requests.filter(({ sentAt }) => sentAt >= startedAt);
    record.write(`callers, before the final fault: ${JSON.stringify(countOutcomes(before))}`);
    if (hasTrouble) {
      record.write('final fault: all processes are killed');
      await deployment.killAll();
      await pause(DOWN_MS);
      await deployment.startAll();
      record.write('all machines are back and ready');
    }
    const backAt = now();
    await pause(RECOVERY_MS + OBSERVED_MS);
    state.isStopped = true;
    await Promise.all(callers);
    const after = state.requests.filter(({ sentAt }) => sentAt >= backAt + RECOVERY_MS);
    record.write(
      `callers, from ${RECOVERY_MS} ms after the machines are back: ${JSON.stringify(countOutcomes(after))}`,
    );
    await recordStore(deployment, record);
    const log = await deployment.log();
    recordLog(record, log);
    record.write(`platform: ${log.promotionCalls.length} promotion calls`);
    if (servedShare(before) < MIN_SHARE || servedShare(after) >= MIN_SHARE) return [];
    const percent = Math.round(servedShare(after) * 100);
    return [
      `RECOVER: ${percent} % of the ${after.length} requests sent more than ${RECOVERY_MS} ms after the machines are back were served`,
    ];
  } finally {
    await deployment.stop();
  }
});
