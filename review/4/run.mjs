/**
 * A replica crashes, is forgotten by the leader, and comes back while it is cut off from the store and from one machine
 * of four, the leader's. It receives commits and acknowledges them to the primary; the other replica receives nothing.
 * Then the primary crashes, and the other replica is promoted.
 */
import { createServer as createHttpServer, request as httpRequest } from 'node:http';
import { connect, createServer } from 'node:net';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { HOST, hasTrouble, pause, runCase, Session, startDeployment } from '../harness-2.mjs';

const MACHINES = 4;
const [PRIMARY, DEAF, RETURNING] = ['i-orders-1', 'i-orders-2', 'i-orders-3'];
/** The replica is down for this long; the primary is dark or down for up to 7 s in the site file. */
const DOWN_MS = 7000;
/** The cut lasts as long as `fleetbench kinds` says where a day says nothing. */
const CUT_MS = 5000;
const WRITE_PERIOD_MS = 10;

/** The way of one machine to an instance, by which the machine can be cut off from it. */
class InstanceLink {
  #sockets = new Set();
  #isCut = false;

  async open(targetPort, port = 0) {
    this.targetPort = targetPort;
    this.server = createServer((near) => this.#accept(near));
    await new Promise((resolve) => this.server.listen(port, HOST, resolve));
    this.port = this.server.address().port;
  }

  #accept(near) {
    near.on('error', () => {});
    this.#sockets.add(near);
    near.on('close', () => this.#sockets.delete(near));
    // In a cut nothing arrives and nothing is answered.
    if (this.#isCut) return;
    const far = connect({ host: HOST, port: this.targetPort, noDelay: true });
    near.setNoDelay(true);
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ]) {
      socket.on('error', () => other.destroy());
      socket.on('close', () => other.destroy());
      socket.on('data', (chunk) => this.#isCut || other.write(chunk));
    }
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Nothing listens at the address of an instance that is down. */
  refuse() {
    this.server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }
}

/** The way of one machine to the store; names the machine's own links as the addresses of the instances. */
function openStoreLink(storePort, links) {
  const translate = (item) => {
    if (typeof item?.value !== 'string' || !item.private_key?.startsWith('servers/')) return item;
    const entry = JSON.parse(Buffer.from(item.value, 'base64').toString());
    const link = links.get(Number(entry.address.split(':')[1]));
    if (link === undefined) return item;
    const own = { ...entry, address: `${HOST}:${link.port}` };
    return { ...item, value: Buffer.from(JSON.stringify(own)).toString('base64') };
  };
  const server = createHttpServer((req, res) => {
    const { method, url: path, headers } = req;
    const far = httpRequest({ host: HOST, port: storePort, method, path, headers }, (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('error', () => res.destroy());
      answer.on('end', () => {
        let text = Buffer.concat(chunks).toString();
        try {
          const body = JSON.parse(text);
          for (const field of ['items', 'events'])
            if (Array.isArray(body[field])) body[field] = body[field].map(translate);
          text = JSON.stringify(translate(body));
        } catch {}
        res.writeHead(answer.statusCode, { 'content-type': 'application/json' }).end(text);
      });
    });
    far.on('error', () => res.destroy());
    res.on('close', () => far.destroy());
    req.pipe(far);
  });
  return new Promise((resolve) => server.listen(0, HOST, () => resolve(server.address().port)));
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record) => {
  /** For each machine, its links by the port of the instance. */
  const linksOf = [];
  let addresses;
  const linkToStore = async (index, storePort, platform) => {
    addresses ??= new Map(
      platform.instances.map(({ id, address }) => [id, Number(address.split(':')[1])]),
    );
    const links = new Map();
    for (const port of addresses.values()) {
      const link = new InstanceLink();
      await link.open(port);
      links.set(port, link);
    }
    linksOf[index] = links;
    return openStoreLink(storePort, links);
  };
  const flags = ['--born', 'false'];
  const { platform, machines } = await startDeployment(record, MACHINES, { flags, linkToStore });
  const post = (path, body = {}) => platform.call('POST', path, body);
  const linkTo = (index, id) => linksOf[index].get(addresses.get(id));
  const acknowledged = [];
  let isOver = false;

  const write = async (machine, index) => {
    for (let number = 0; !isOver; ) {
      const session = await Session.open(machine.port, 'intake');
      while (session?.isOpen && !isOver) {
        number += 1;
        const id = `w${index}.${number}`;
        const answer = await session.query(id, `WRITE k${index} d${number}`, 2000);
        if (answer?.[0]?.startsWith('COMPLETE')) acknowledged.push({ id, at: performance.now() });
        await pause(WRITE_PERIOD_MS);
      }
      await pause(100);
    }
  };
  const traffic = machines.map(write);
  await pause(2500);
  const leader = machines.findIndex(({ output }) => output.includes('"leadership taken"'));
  record(`the leader is ${machines[leader].name}`);

  const down = async (id) => {
    await post(`/instances/${id}/crash`);
    for (const index of machines.keys()) linkTo(index, id).refuse();
    record(`${id} has crashed`);
  };
  const up = async (id) => {
    await post(`/instances/${id}/return`);
    for (const index of machines.keys()) {
      const link = linkTo(index, id);
      await link.open(link.targetPort, link.port);
    }
    record(`${id} is back`);
  };

  await down(RETURNING);
  const downAt = performance.now();
  while (performance.now() - downAt < DOWN_MS) await pause(50);
  record(`forgotten: ${machines.some(({ output }) => output.includes('"member forgotten"'))}`);
  if (hasTrouble) {
    await post(`/instances/${RETURNING}/faults`, { isSilentToStore: true });
    linkTo(leader, RETURNING).cut();
    setTimeout(async () => {
      linkTo(leader, RETURNING).heal();
      await post(`/instances/${RETURNING}/faults`, { isSilentToStore: false });
      record(`${RETURNING} is no longer cut off`);
    }, CUT_MS);
    record(`${RETURNING} is cut off from the store and from ${machines[leader].name}`);
  }
  await up(RETURNING);
  await pause(1500);
  await post(`/instances/${DEAF}/faults`, { isStalled: true });
  record(`${DEAF} receives nothing`);
  await pause(2000);
  await down(PRIMARY);
  const crashedAt = performance.now();
  const isPromoted = async () => (await platform.call('GET', '/log')).promotions.length > 0;
  while (!(await isPromoted()) && performance.now() - crashedAt < 25_000) await pause(100);
  await pause(3000);
  isOver = true;
  await Promise.all(traffic);

  const { runs, promotions, services } = await platform.call('GET', '/log');
  for (const { id, leads, term, number } of promotions)
    record(`${id} was promoted to term ${leads} with its log at ${term}.${number}`);
  const byId = new Map(runs.filter(({ committed }) => committed).map((run) => [run.id, run]));
  const kept = new Set(services[0].entries.map(({ term, number }) => `${term}.${number}`));
  const lost = acknowledged.filter(({ id, at }) => {
    const run = byId.get(id);
    return (
      at < crashedAt &&
      run !== undefined &&
      !kept.has(`${run.committed.term}.${run.committed.number}`)
    );
  });
  record(
    `${acknowledged.length} writes acknowledged; ${lost.length} of them are not in the log of the promoted instance`,
  );
  for (const { id } of lost.slice(0, 3))
    record(`lost: ${id}, ${JSON.stringify(byId.get(id).committed)}`);
  for (const line of machines[leader].output
    .split('\n')
    .filter((l) =>
      /withheld|forgotten|is back|promotion called|to be replaced|not replaced|primary changed/.test(
        l,
      ),
    )
    .slice(-25))
    record(line.slice(0, 300));
  for (const machine of machines) machine.stop();
  return lost.length > 0;
});
