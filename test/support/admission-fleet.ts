/** Simulates a fleet in virtual time: random arrivals of three request kinds, one instance with a FIFO queue. */
import {
  type AdmissionRules,
  type AdmissionWork,
  InstanceAdmission,
  startDeadlineOf,
} from '../../src/core/admission/instance-admission.js';
import { FairQueue, type QueuedRequest } from '../../src/core/statements/fair-queue.js';
import { seededRandom } from './random.js';

export interface RequestKind {
  readonly priority: number;
  readonly workMs: number;
  readonly latencyTargetMs: number;
  readonly timeoutMs: number;
  /** Fraction of all requests. */
  readonly fraction: number;
}

export const REQUEST_KINDS: readonly RequestKind[] = [
  { priority: 0, workMs: 8, latencyTargetMs: 250, timeoutMs: 1000, fraction: 0.15 },
  { priority: 1, workMs: 24, latencyTargetMs: 500, timeoutMs: 1000, fraction: 0.6 },
  { priority: 2, workMs: 40, latencyTargetMs: 1200, timeoutMs: 2000, fraction: 0.25 },
];
export const SLOTS = 5;
const INSTANCE_QUEUE = 40;
const TENANTS = 40;
const MEAN_WORK_MS = REQUEST_KINDS.reduce(
  (sum, { workMs, fraction }) => sum + workMs * fraction,
  0,
);
/** Requests of this mix that the instance can serve per second. */
export const CAPACITY_PER_SECOND = (SLOTS * 1000) / MEAN_WORK_MS;

interface Request extends AdmissionWork, QueuedRequest {
  readonly kind: RequestKind;
  readonly node: Node;
  readonly workMs: number;
}

interface Node {
  readonly queue: FairQueue<Request>;
  readonly admission: InstanceAdmission;
  readonly held: Map<string, number>;
  inFlight: number;
  highestPriorityInFlight: number;
}

export interface FleetOptions {
  readonly nodes: number;
  readonly connections: number;
  /** Offered load by time, as a multiple of the instance's capacity. */
  readonly load: (now: number) => number;
  readonly seconds: number;
  readonly seed: number;
  /** Only requests that arrive after this time, and early enough to time out before the end, are counted. */
  readonly countFromMs: number;
  readonly rules: AdmissionRules | undefined;
  /** True if the node receives requests of this kind; by default all nodes do. */
  readonly receives?: (node: number, kind: RequestKind) => boolean;
}

export interface KindCount {
  arrived: number;
  withinTarget: number;
  late: number;
  refused: number;
}

export interface FleetReport {
  readonly kinds: readonly KindCount[];
  /** Slot time of responses within the deadline, per tenth of a second, as a fraction of the capacity. */
  readonly goodput: readonly number[];
  /** Longest wait of a request that was never sent to the instance, as a fraction of its timeout. */
  longestUntriedWait: number;
  /** Maximum number of requests in flight per tenth of a second, over all nodes. */
  readonly inFlight: readonly number[];
}

function kindAt(draw: number): RequestKind {
  let left = draw;
  for (const kind of REQUEST_KINDS) {
    if (left < kind.fraction) return kind;
    left -= kind.fraction;
  }
  return REQUEST_KINDS[0] as RequestKind;
}

export function simulateFleet(options: FleetOptions): FleetReport {
  const { seconds, rules, connections } = options;
  const random = seededRandom(options.seed);
  const nodes: Node[] = Array.from({ length: options.nodes }, () => ({
    queue: new FairQueue<Request>(),
    admission: new InstanceAdmission(() => rules),
    held: new Map<string, number>(),
    inFlight: 0,
    highestPriorityInFlight: 0,
  }));
  const kinds = REQUEST_KINDS.map(() => ({ arrived: 0, withinTarget: 0, late: 0, refused: 0 }));
  const goodput = new Array<number>(seconds * 10).fill(0);
  const inFlight = new Array<number>(seconds * 10).fill(0);
  const report: FleetReport = { kinds, goodput, longestUntriedWait: 0, inFlight };
  const running: { request: Request; startedAt: number; endsAt: number }[] = [];
  const queued: { request: Request; startedAt: number }[] = [];
  const lastMs = seconds * 1000 - Math.max(...REQUEST_KINDS.map(({ timeoutMs }) => timeoutMs));
  const uncounted: KindCount = { arrived: 0, withinTarget: 0, late: 0, refused: 0 };
  const countOf = ({ kind, queuedAt }: Request): KindCount => {
    const isCounted = queuedAt >= options.countFromMs && queuedAt < lastMs;
    return isCounted ? (kinds[REQUEST_KINDS.indexOf(kind)] as KindCount) : uncounted;
  };
  const usageOf = (node: Node) => ({
    slots: SLOTS,
    sharers: nodes.length,
    inFlight: node.inFlight,
    highestInFlight: node.highestPriorityInFlight,
  });

  const refuse = (request: Request, now: number): void => {
    countOf(request).refused += 1;
    const waitedFraction = (now - request.queuedAt) / request.kind.timeoutMs;
    report.longestUntriedWait = Math.max(report.longestUntriedWait, waitedFraction);
  };
  const release = (node: Node, { tenant, priority }: Request): void => {
    node.inFlight -= 1;
    if (priority === 0) node.highestPriorityInFlight -= 1;
    node.held.set(tenant, (node.held.get(tenant) ?? 1) - 1);
  };
  const serve = (node: Node, now: number): void => {
    while (node.inFlight < connections) {
      const { admission, queue, held } = node;
      const request = queue.takeNext(
        held,
        undefined,
        (waiting) => admission.mayStart(waiting, usageOf(node), now),
        admission.isActive ? (waiting) => admission.next(waiting, held, now) : undefined,
      );
      if (request === undefined) return;
      node.inFlight += 1;
      if (request.priority === 0) node.highestPriorityInFlight += 1;
      held.set(request.tenant, (held.get(request.tenant) ?? 0) + 1);
      if (queued.length < INSTANCE_QUEUE) queued.push({ request, startedAt: now });
      else {
        release(node, request);
        admission.recordRefusal();
        refuse(request, now);
      }
    }
  };
  const arrive = (now: number): void => {
    const kind = kindAt(random());
    const receivers = nodes.filter((_, index) => options.receives?.(index, kind) ?? true);
    const node = receivers[Math.floor(random() * receivers.length)] as Node;
    const { priority, workMs, latencyTargetMs, timeoutMs } = kind;
    const [latencyTargetAt, deadline] = [now + latencyTargetMs, now + timeoutMs];
    const request: Request = {
      ...{
        kind,
        node,
        priority,
        latencyTargetAt,
        deadline,
        weight: 1,
        maxWaiting: 200,
        queuedAt: now,
      },
      tenant: `t${Math.floor(random() * TENANTS)}`,
      startDeadline: rules === undefined ? deadline : startDeadlineOf(now, deadline),
      workMs: workMs * (0.3 + 1.4 * random()),
    };
    countOf(request).arrived += 1;
    const refusal = node.admission.refusalOf(
      request,
      node.queue.requests,
      node.held,
      usageOf(node),
      now,
    );
    if (refusal !== undefined || !node.queue.push(request)) refuse(request, now);
  };
  const end = ({ request, startedAt }: (typeof running)[number], now: number): void => {
    const { node, workMs } = request;
    release(node, request);
    node.admission.recordCompletion(request.priority, now - startedAt, usageOf(node), now);
    const count = countOf(request);
    if (now > request.deadline) return;
    if (now <= request.latencyTargetAt) count.withinTarget += 1;
    else count.late += 1;
    const tenth = Math.floor(now / 100);
    goodput[tenth] = (goodput[tenth] ?? 0) + workMs / (SLOTS * 100);
  };

  for (let now = 0; now < seconds * 1000; now += 1) {
    const perMs = (CAPACITY_PER_SECOND * options.load(now)) / 1000;
    for (let expected = perMs; expected > 0; expected -= 1) if (random() < expected) arrive(now);
    for (const one of running.filter(({ endsAt }) => endsAt <= now)) {
      running.splice(running.indexOf(one), 1);
      end(one, now);
    }
    for (const node of nodes) {
      node.admission.adjust(usageOf(node), now);
      for (const request of [...node.queue.requests]) {
        if (now < request.startDeadline) continue;
        node.queue.remove(request);
        refuse(request, now);
      }
      serve(node, now);
    }
    while (running.length < SLOTS && queued.length > 0) {
      const next = queued.shift();
      if (next !== undefined) running.push({ ...next, endsAt: now + next.request.workMs });
    }
    const tenth = Math.floor(now / 100);
    inFlight[tenth] = Math.max(inFlight[tenth] ?? 0, running.length + queued.length);
  }
  return report;
}
