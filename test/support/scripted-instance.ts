/** A fake database instance that speaks the line protocol and whose responses a test controls. */
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import type { InstanceEntry } from '../../src/direct/contract.js';
import { listen } from '../../standins/common/process.js';
import { until } from './until.js';

const HOST = '127.0.0.1';

/** A statement and the number of its connection. */
export interface ReceivedStatement {
  readonly connection: number;
  readonly text: string;
}

export class ScriptedInstance {
  /** All statements, in order of arrival. */
  readonly received: ReceivedStatement[] = [];
  /** Numbers of the connections that have ended. */
  readonly ended: number[] = [];
  /** While set, statements that contain it are answered only by `answerHeld`. */
  heldText: string | undefined;
  /** While set, statements that contain `text` are answered with this error code. */
  failing: { readonly text: string; readonly code: string } | undefined;
  readonly #held: { readonly socket: Socket; readonly text: string }[] = [];
  readonly #sockets: Socket[] = [];

  private constructor(
    private readonly server: Server,
    readonly entry: InstanceEntry,
  ) {}

  static async start(id: string): Promise<ScriptedInstance> {
    const server = createServer();
    const port = await listen(server, HOST, 0);
    const entry: InstanceEntry = {
      ...{ id, service: 'orders', host: HOST, port, zone: 'a', slots: 3 },
      ...{ draining: false, role: 'primary' },
    };
    const instance = new ScriptedInstance(server, entry);
    server.on('connection', (socket) => instance.#accept(socket));
    return instance;
  }

  get connectionCount(): number {
    return this.#sockets.length;
  }

  /** Waits for a statement that contains this text. */
  async waitForStatement(text: string): Promise<ReceivedStatement> {
    const found = (): ReceivedStatement | undefined =>
      this.received.find((one) => one.text.includes(text));
    await until(`the instance receives ${text}`, () => found() !== undefined);
    return found() as ReceivedStatement;
  }

  answerHeld(): void {
    this.heldText = undefined;
    for (const { socket, text } of this.#held.splice(0)) answer(socket, text);
  }

  async stop(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    this.server.close();
    await once(this.server, 'close');
  }

  #accept(socket: Socket): void {
    const connection = this.#sockets.push(socket);
    let incomplete = '';
    socket.on('error', () => undefined);
    socket.on('close', () => this.ended.push(connection));
    socket.on('data', (chunk) => {
      const lines = (incomplete + chunk.toString('latin1')).split('\r\n');
      incomplete = lines.pop() ?? '';
      for (const line of lines) this.#handleLine(socket, connection, line);
    });
  }

  #handleLine(socket: Socket, connection: number, line: string): void {
    if (line.startsWith('START')) {
      socket.write('READY I 1.1\r\n');
      return;
    }
    const text = line.split(' ').slice(2).join(' ');
    this.received.push({ connection, text });
    if (this.heldText !== undefined && text.includes(this.heldText))
      this.#held.push({ socket, text });
    else if (this.failing !== undefined && text.includes(this.failing.text)) {
      socket.write(`ERROR ${this.failing.code} ${text}\r\nREADY I 1.2\r\n`, 'latin1');
    } else answer(socket, text);
  }
}

/** Answers with a row that repeats the text, so that a test can tell responses apart. */
function answer(socket: Socket, text: string): void {
  const state = text.startsWith('BEGIN') || text.endsWith('inside') ? 'T' : 'I';
  socket.write(`ROW ${text}\r\nCOMPLETE sig-${text}\r\nREADY ${state} 1.2\r\n`, 'latin1');
}
