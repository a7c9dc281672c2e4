/**
 * The operator moves a route to another service and back. A session writes at both services, and then reads at the
 * first one, whose replicas are behind, within the time that the route allows other sessions' commits to be missing.
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

const DATABASE = 'assign';
const MAX_STALENESS_MS = 2500;
const ROUNDS = 4;
const SESSIONS_PER_GATEWAY = 8;
/** Replicas apply after 60 ms (`lag_ms` of the site file) times 35; the site file has times 60. */
const NORMAL_LAG_MS = 60;
const FAULT_LAG_MS = 2100;
const ROUTE_CHANGE_TIMEOUT_MS = 2000;

const routeTo = (service) => [
  {
    database: DATABASE,
    service,
    type: 'read_your_writes',
    maxStalenessMs: MAX_STALENESS_MS,
  },
  { database: 'other', service: 'orders', type: 'primary' },
  { database: 'third', service: 'ledger', type: 'primary' },
];

/** Sends a statement under new ids until it succeeds; returns the answer, its time and its id. */
async function succeed(session, name, text) {
  for (let attempt = 1; attempt <= 20; attempt += 1) {
    const id = `${name}a${attempt}`;
    const sentAt = now();
    const answer = await session.query(id, text);
    if (errorOf(answer) === undefined) {
      return {
        id,
        sentAt,
        answeredAt: now(),
        signature: fieldOf(answer, 'COMPLETE'),
      };
    }
    await pause(50);
  }
  throw new Error(`${text} did not succeed`);
}

/** Publishes the route and waits until a new session of each gateway writes at the service. */
async function moveRoute(deployment, service, name) {
  await deployment.publish(routeTo(service));
  await Promise.all(
    deployment.gateways.map(async (gateway, index) => {
      const session = await Session.open(gateway, DATABASE, 'probe', deployment.record);
      let count = 0;
      await until(
        `${gateway.name} uses ${service}`,
        async () => {
          count += 1;
          const { signature } = await succeed(session, `${name}g${index}c${count}`, `READ probe`);
          return (await runOf(deployment, signature)).service === service;
        },
        ROUTE_CHANGE_TIMEOUT_MS,
      );
      session.end();
    }),
  );
}

async function runOf(deployment, signature) {
  const { runs } = await deployment.log();
  return runs.find((run) => run.signature === signature);
}

/** The rule for one read and the session's earlier write at the service; judged only if the read ran there. */
function violationOf({ name, write, read }, bySignature) {
  const { service, committed } = bySignature.get(write.signature);
  const ran = bySignature.get(read.signature);
  const isAcknowledgedBefore = write.answeredAt < read.sentAt;
  const isBehind = ran.position.term === committed.term && ran.position.number < committed.number;
  if (ran.service !== service || !isAcknowledgedBefore || !isBehind) return [];
  const log = `${ran.position.term}.${ran.position.number}`;
  const commit = `${committed.term}.${committed.number}`;
  const agoMs = Math.round(read.sentAt - write.answeredAt);
  return [
    `STALE: ${read.id} of session ${name} ran at ${ran.instance} on the log up to ${log}, without the session's commit ${commit} that was acknowledged ${agoMs} ms before`,
  ];
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record) => {
  const deployment = await Deployment.start(record, {
    services: ['orders', 'ledger'],
    flags: [
      ...['--service', 'orders=3', '--service', 'ledger=3', '--lag-ms', String(NORMAL_LAG_MS)],
      ...['--work-ms', '4', '--network-ms', '1'],
    ],
    routes: routeTo('orders'),
  });
  try {
    if (hasTrouble) {
      for (const { id, role } of await deployment.instances()) {
        if (role === 'replica')
          await deployment.post(`/instances/${id}/faults`, {
            lagMs: FAULT_LAG_MS,
          });
      }
      record.write(`replicas apply ${FAULT_LAG_MS} ms after they receive`);
    }
    const sessions = [];
    for (const gateway of deployment.gateways) {
      for (let index = 0; index < SESSIONS_PER_GATEWAY; index += 1) {
        const session = await Session.open(gateway, DATABASE, `s${sessions.length}`, record);
        sessions.push({
          session,
          name: `s${sessions.length}`,
          gateway: gateway.name,
        });
      }
    }
    // Nodes need samples of the primaries' positions that are as old as reads may be.
    await pause(MAX_STALENESS_MS + 1500);
    const checks = [];
    for (let round = 1; round <= ROUNDS; round += 1) {
      const forAll = (step) =>
        Promise.all(sessions.map(({ session, name }) => step(session, `${name}r${round}`, name)));
      const writes = await forAll((session, id, name) =>
        succeed(session, `${id}w`, `WRITE ${name} round${round}`),
      );
      await moveRoute(deployment, 'ledger', `r${round}l`);
      await forAll((session, id, name) =>
        succeed(session, `${id}l`, `WRITE ${name} round${round}`),
      );
      await moveRoute(deployment, 'orders', `r${round}o`);
      // Without the fault, the replicas have applied the first writes by now.
      await pause(200);
      const reads = await forAll((session, id, name) => succeed(session, `${id}d`, `READ ${name}`));
      for (const [index, write] of writes.entries()) {
        checks.push({ ...sessions[index], write, read: reads[index] });
      }
      await pause(500);
    }
    const log = await deployment.log();
    recordLog(record, log);
    const bySignature = new Map(log.runs.map((run) => [run.signature, run]));
    return checks.flatMap((check) => violationOf(check, bySignature));
  } finally {
    await deployment.stop();
  }
});
