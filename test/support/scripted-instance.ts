/** A database instance that does what a test says, on the line protocol. */
import { once } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import type { InstanceEntry } from '../../src/direct/contract.js';
import { listen } from '../../standins/common/process.js';
import { until } from './until.js';

const HOST = '127.0.0.1';

/** A message that it got, and the connection that it came on. */
export interface HeardMessage {
  readonly connection: number;
  readonly text: string;
}

export class ScriptedInstance {
  /** Texts of all statements, in the order of their arrival. */
  readonly heard: HeardMessage[] = [];
  /** Connections that ended. */
  readonly ended: number[] = [];
  /** While set, statements that contain it get no answer until `answerHeld`. */
  hold: string | undefined;
  /** While set, statements that contain it are answered with this error code. */
  fail: { readonly text: string; readonly code: string } | undefined;
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
  async hears(text: string): Promise<HeardMessage> {
    const found = (): HeardMessage | undefined => this.heard.find((one) => one.text.includes(text));
    await until(`the instance hears ${text}`, () => found() !== undefined);
    return found() as HeardMessage;
  }

  answerHeld(): void {
    this.hold = undefined;
    for (const { socket, text } of this.#held.splice(0)) answer(socket, text);
  }

  async stop(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    this.server.close();
    await once(this.server, 'close');
  }

  #accept(socket: Socket): void {
    const connection = this.#sockets.push(socket);
    let rest = '';
    socket.on('error', () => undefined);
    socket.on('close', () => this.ended.push(connection));
    socket.on('data', (chunk) => {
      const lines = (rest + chunk.toString('latin1')).split('\r\n');
      rest = lines.pop() ?? '';
      for (const line of lines) this.#take(socket, connection, line);
    });
  }

  #take(socket: Socket, connection: number, line: string): void {
    if (line.startsWith('START')) {
      socket.write('READY I 1.1\r\n');
      return;
    }
    const text = line.split(' ').slice(2).join(' ');
    this.heard.push({ connection, text });
    if (this.hold !== undefined && text.includes(this.hold)) this.#held.push({ socket, text });
    else if (this.fail !== undefined && text.includes(this.fail.text)) {
      socket.write(`ERROR ${this.fail.code} ${text}\r\nREADY I 1.2\r\n`, 'latin1');
    } else answer(socket, text);
  }
}

/** A row that repeats the text, so that a test sees whose answer it got. */
function answer(socket: Socket, text: string): void {
  const state = text.startsWith('BEGIN') || text.endsWith('inside') ? 'T' : 'I';
  socket.write(`ROW ${text}\r\nCOMPLETE sig-${text}\r\nREADY ${state} 1.2\r\n`, 'latin1');
}
