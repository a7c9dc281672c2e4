/**
 * A TCP link that a test can partition. What was sent on open connections is held up and delivered afterwards, also if
 * its sender has closed the connection or has ended; a reset discards it. New connections wait.
 */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

const HOST = '127.0.0.1';

export class PartitionableLink {
  /** Called with the first bytes of each connection, before they are forwarded. */
  onFirstBytes: () => void = () => {};
  readonly #server: Server = createServer({ allowHalfOpen: true }, (socket) =>
    this.#accept(socket),
  );
  readonly #sockets = new Set<Socket>();
  #held: (() => void)[] = [];
  #isCut = false;
  #resetCount = 0;

  private constructor(private readonly targetPort: number) {}

  static async start(targetPort: number): Promise<PartitionableLink> {
    const link = new PartitionableLink(targetPort);
    link.#server.listen(0, HOST);
    await once(link.#server, 'listening');
    return link;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of connections of which a reset has arrived here. */
  get resetCount(): number {
    return this.#resetCount;
  }

  cut(): void {
    this.#isCut = true;
  }

  heal(): void {
    this.#isCut = false;
    for (const action of this.#held.splice(0)) action();
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(client: Socket): void {
    this.#track(client);
    this.#pass(() => {
      if (client.destroyed) return;
      const target = connect({ host: HOST, port: this.targetPort, allowHalfOpen: true });
      this.#track(target);
      client.once('data', () => this.onFirstBytes());
      this.#forward(client, target);
      this.#forward(target, client);
    });
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    // Its peer is told by `forward`; without a listener Node would throw the error.
    socket.on('error', () => {});
  }

  #forward(from: Socket, to: Socket): void {
    let isReset = false;
    const pass = (action: () => void): void =>
      this.#pass(() => {
        if (!isReset && !to.destroyed) action();
      });
    from.on('data', (chunk) => pass(() => to.write(chunk)));
    from.on('end', () => pass(() => to.end()));
    from.on('error', () => {
      isReset = true;
      this.#resetCount += 1;
      this.#pass(() => {
        if (!to.destroyed) to.resetAndDestroy();
      });
    });
  }

  #pass(action: () => void): void {
    if (this.#isCut) this.#held.push(action);
    else action();
  }
}
