/** The platform's call that replaces a primary: `POST /promotion`, with lock holder and fencing token. */
import { createServer, type Server } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { z } from 'zod';
import { readJsonBody, sendJson } from '../common/control-server.js';
import { TokenBucket } from '../common/token-bucket.js';
import type { DatabaseGroup } from './group.js';
import { monotonicMs } from './monotonic.js';
import type { PromotionCall } from './run-log.js';

/** Body of `POST /promotion/faults`. Absent fields stay as they are. */
export const promotionFaultSettings = z.strictObject({
  down: z.enum(['no', 'silent', 'unavailable']).optional(),
  answerMs: z.number().min(0).optional(),
  /** Number of next calls that take effect but get no response. */
  loseNext: z.int().min(0).optional(),
});
type PromotionFaults = Required<z.infer<typeof promotionFaultSettings>>;

const HOLDER_HEADER = 'meadowstack-duty-holder';
const TOKEN_HEADER = 'meadowstack-fencing-token';
const bodySchema = z.object({ service: z.string(), id: z.string() });
const headersSchema = z.object({
  [HOLDER_HEADER]: z.string().min(1),
  [TOKEN_HEADER]: z.coerce.number().int(),
});

export interface PromotionServerOptions {
  readonly callsPerSecond: number;
  readonly isFencingEnforced: boolean;
}

export class PromotionServer {
  readonly calls: PromotionCall[] = [];
  readonly server: Server;
  #faults: PromotionFaults = { down: 'no', answerMs: 4, loseNext: 0 };
  readonly #bucket: TokenBucket;

  constructor(
    private readonly options: PromotionServerOptions,
    private readonly groups: ReadonlyMap<string, DatabaseGroup>,
  ) {
    this.#bucket = new TokenBucket(options.callsPerSecond, monotonicMs());
    this.server = createServer((request, response) => {
      const respond = async (): Promise<void> => {
        const body = await readJsonBody(request);
        if (this.#faults.down === 'silent') return;
        await pause(this.#faults.answerMs);
        const isPromotion = request.method === 'POST' && request.url === '/promotion';
        const status = isPromotion ? this.#handleCall(body, request.headers) : 404;
        if (this.#faults.loseNext > 0) this.#faults.loseNext -= 1;
        else sendJson(response, status, {});
      };
      respond().catch(() => request.socket.destroy());
    });
  }

  applyFaults(settings: z.infer<typeof promotionFaultSettings>): void {
    this.#faults = { ...this.#faults, ...settings };
  }

  #handleCall(body: unknown, headers: unknown): number {
    const parsedBody = bodySchema.safeParse(body);
    const parsedHeaders = headersSchema.safeParse(headers);
    if (!parsedBody.success || !parsedHeaders.success) return 400;
    const { service, id } = parsedBody.data;
    const holder = parsedHeaders.data[HOLDER_HEADER];
    const token = parsedHeaders.data[TOKEN_HEADER];
    const status = this.#promote(service, id, token);
    this.calls.push({ service, id, holder, token, status, at: monotonicMs() });
    return status;
  }

  #promote(service: string, id: string, token: number): number {
    if (this.#faults.down === 'unavailable') return 503;
    if (!this.#bucket.tryTake(monotonicMs())) return 429;
    const group = this.groups.get(service);
    const member = group?.members.find((candidate) => candidate.id === id);
    if (group === undefined || member === undefined) return 409;
    const newest = Math.max(0, ...this.calls.map((call) => call.token));
    if (this.options.isFencingEnforced && token < newest) return 409;
    if (!member.isRunning || member.isDark) return 409;
    if (member !== group.newestPrimary) group.promote(member);
    return 200;
  }
}
