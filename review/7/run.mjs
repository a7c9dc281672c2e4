/**
 * An instance leaves without saying `draining`: its entry goes, and it serves on. More than `drain_timeout_ms` later the
 * store cuts one waiting watch of each machine, that of the configuration. The machines then use the instance again.
 */
import { connect, createServer } from 'node:net';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { HOST, hasTrouble, pause, runCase, Session, startDeployment } from '../harness-2.mjs';

const MACHINES = 3;
const LEAVING = 'i-orders-3';
const DRAIN_TIMEOUT_MS = 7000;
const CONTACT_TIMEOUT_MS = 4000;
/** A leaving instance serves on for the drain timeout and a little longer, at times many seconds. */
const SERVES_ON_MS = 13_500;
/** Time for what was sent before a limit to arrive: such requests are not counted. */
const ARRIVAL_MS = 300;
const READ_PERIOD_MS = 25;
/** A transaction of a client: reads with pauses between them, 12 statements at most. */
const TRANSACTION_READS = 8;
const TRANSACTION_PAUSE_MS = 150;

const startedAt = performance.now();
const seconds = (at) => ((at - startedAt) / 1000).toFixed(3);

/** The link of one machine to the store; knows its waiting watches by the prefix in their requests. */
class StoreLink {
  #configurationWatches = new Set();
  directoryPollAt = Number.NEGATIVE_INFINITY;

  open(storePort) {
    const server = createServer((near) => {
      const far = connect({ host: HOST, port: storePort, noDelay: true });
      near.setNoDelay(true);
      const close = () => {
        near.destroy();
        far.destroy();
        this.#configurationWatches.delete(near);
      };
      for (const socket of [near, far]) socket.on('error', close).on('close', close);
      near.on('data', (chunk) => {
        const text = chunk.toString('latin1');
        if (text.includes('kv-watch?path_prefix=op')) this.#configurationWatches.add(near);
        if (text.includes('kv-watch?path_prefix=server')) this.directoryPollAt = performance.now();
        far.write(chunk);
      });
      far.on('data', (chunk) => near.write(chunk));
    });
    return new Promise((resolve) => server.listen(0, HOST, () => resolve(server.address().port)));
  }

  /** As the store does: a waiting watch is cut. */
  cutConfigurationWatch() {
    const count = this.#configurationWatches.size;
    for (const watch of [...this.#configurationWatches]) watch.resetAndDestroy();
    return count;
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const links = [];
  const linkToStore = (index, storePort) => {
    links[index] = new StoreLink();
    return links[index].open(storePort);
  };
  const { platform, machines } = await startDeployment(record, MACHINES, { linkToStore });
  const post = (path, body = {}) => platform.call('POST', path, body);
  const sent = new Map();
  let isOver = false;

  let number = 0;
  const nextNumber = () => {
    number += 1;
    return number;
  };

  const read = async (machine, index) => {
    while (!isOver) {
      const session = await Session.open(machine.port, 'lookup');
      while (session?.isOpen && !isOver) {
        const id = `r${index}.${nextNumber()}`;
        sent.set(id, { index, at: performance.now() });
        const answer = await session.query(id, 'READ k');
        sent.get(id).answer = answer?.[0] ?? 'none';
        await pause(READ_PERIOD_MS);
      }
      await pause(100);
    }
  };
  /** Read transactions: the instance that serves one may end before its client is done. */
  const aborted = [];
  const runTransactions = async (machine, index) => {
    while (!isOver) {
      const session = await Session.open(machine.port, 'lookup');
      while (session?.isOpen && !isOver) {
        const ids = Array.from({ length: TRANSACTION_READS }, () => `t${index}.${nextNumber()}`);
        let answer = await session.query(`b${ids[0]}`, 'BEGIN READ');
        for (const id of ids) {
          sent.set(id, { index, at: performance.now() });
          answer = await session.query(id, 'READ k');
          sent.get(id).answer = answer?.[0] ?? 'none';
          if (answer?.[0].startsWith('ERROR ABORTED')) aborted.push({ id, ids, answer: answer[0] });
          if (!answer?.[0].startsWith('ROW')) break;
          await pause(TRANSACTION_PAUSE_MS);
        }
        await session.query(`c${ids[0]}`, answer?.[0].startsWith('ROW') ? 'COMMIT' : 'ROLLBACK');
      }
      await pause(100);
    }
  };
  const traffic = [...machines.map(read), ...machines.map(runTransactions)];
  await pause(3000);

  await post(`/instances/${LEAVING}/faults`, { isSilentToStore: true });
  for (;;) {
    const { values } = await platform.call('GET', '/store/values');
    if (!(`servers/${LEAVING}` in values)) break;
    await pause(20);
  }
  const goneAt = performance.now();
  record(`the entry of ${LEAVING} is gone from the store`);
  setTimeout(() => void post(`/instances/${LEAVING}/crash`), SERVES_ON_MS);

  // Cut right after a poll of the directory was sent, more than the drain timeout after the entry has gone.
  const cutAt = links.map(() => undefined);
  while (performance.now() - goneAt < SERVES_ON_MS + 500) {
    await pause(20);
    for (const [index, link] of links.entries()) {
      const isDue = link.directoryPollAt - goneAt >= DRAIN_TIMEOUT_MS - 1000;
      if (!hasTrouble || cutAt[index] !== undefined || !isDue) continue;
      if (performance.now() - link.directoryPollAt < 50) continue;
      cutAt[index] = performance.now();
      record(`${machines[index].name}: ${link.cutConfigurationWatch()} waiting watch is cut`);
    }
  }
  isOver = true;
  await Promise.all(traffic);

  const { runs } = await platform.call('GET', '/log');
  const atInstance = runs.filter(
    ({ id, instance }) => instance.startsWith(LEAVING) && sent.has(id),
  );
  const late = { drained: 0, inTouch: 0 };
  for (const { id } of atInstance) {
    const { index, at, answer } = sent.get(id);
    if (at - goneAt <= DRAIN_TIMEOUT_MS + ARRIVAL_MS) continue;
    late.drained += 1;
    const isInTouch = cutAt[index] === undefined || at - cutAt[index] > CONTACT_TIMEOUT_MS;
    if (isInTouch) late.inTouch += 1;
    if (isInTouch)
      record(
        `${id} sent at ${seconds(at)} to ${machines[index].name} ran at ${LEAVING}: ${answer}`,
      );
  }
  const ranThere = new Set(atInstance.map(({ id }) => id));
  for (const { id, ids, answer } of aborted)
    if (ids.some((one) => ranThere.has(one)))
      record(`${id}: its transaction, open at ${LEAVING}, ended with it: ${answer}`);
  record(`${atInstance.length} reads at ${LEAVING}, ${sent.size} in all`);
  record(`${late.drained} were sent more than ${DRAIN_TIMEOUT_MS} ms after its entry had gone`);
  record(
    `${late.inTouch} of these by a machine none of whose connections was cut for ${CONTACT_TIMEOUT_MS} ms`,
  );
  for (const machine of machines) machine.stop();
  return late.inTouch > 0;
});
