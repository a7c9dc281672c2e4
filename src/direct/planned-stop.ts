/** The planned stop of a gateway: sessions end between requests, and running requests get most of the grace period. */
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { CallerServer } from './caller-server.js';
import type { SessionCounters } from './caller-session.js';
import type { RelayHost } from './relay/relay-host.js';
import { afterPendingInput, pause } from './within.js';

/** Delay between the request to stop and the stop notices; by then no new callers are directed to this node. */
const DRAIN_DELAY_MS = 2200;
const DRAIN_CHECK_PERIOD_MS = 50;
/** Fractions of the grace period after which open transactions and running requests are ended. */
const TRANSACTION_GRACE_FRACTION = 0.5;
const REQUEST_GRACE_FRACTION = 0.9;

/** The components that a stop ends, and its time limit. */
export interface StopOptions {
  readonly server: CallerServer;
  readonly relay: Pick<RelayHost, 'stopGranting' | 'drained'>;
  readonly counters: Pick<SessionCounters, 'refusedAtStop'>;
  readonly gracePeriodMs: Milliseconds;
  readonly now: () => Milliseconds;
  readonly logger: Logger | undefined;
}

/** Ends all sessions; those left when the time is over are cut off. */
export async function endSessions(parts: StopOptions): Promise<void> {
  const { server, relay, counters, gracePeriodMs, now, logger } = parts;
  const stoppedAt = now();
  const endsAt = stoppedAt + gracePeriodMs * REQUEST_GRACE_FRACTION;
  relay.stopGranting();
  const delayMs = Math.min(DRAIN_DELAY_MS, gracePeriodMs * TRANSACTION_GRACE_FRACTION);
  await pause(delayMs);
  // If the process is late here, requests have been unread for that time.
  const lateMs = Math.round(now() - stoppedAt - delayMs);
  logger?.info('sessions told to leave', { sessions: server.sessionCount, lateMs });
  server.drain(false);
  await waitForSessions(parts, stoppedAt + gracePeriodMs * TRANSACTION_GRACE_FRACTION);
  server.drain(true);
  // A caller that connected from now on, while other nodes return borrowed connections, would be cut off afterwards.
  server.stopAccepting();
  await waitForSessions(parts, endsAt);
  await relay.drained(endsAt);
  await new Promise<void>(afterPendingInput);
  const { refusedAtStop } = counters;
  const remaining = { sessionsLeft: server.sessionCount, requestsCut: server.busyCount };
  logger?.info('sessions ended', {
    ...remaining,
    refusedAtStop,
    tookMs: Math.round(now() - stoppedAt),
  });
  server.close();
}

async function waitForSessions(
  { server, now }: StopOptions,
  deadline: Milliseconds,
): Promise<void> {
  while (server.sessionCount > 0 && now() < deadline) await pause(DRAIN_CHECK_PERIOD_MS);
}
