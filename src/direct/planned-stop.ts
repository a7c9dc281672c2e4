/** The planned stop of a gateway, seen by its callers: sessions end between requests, and no request is cut. */
import type { Milliseconds } from '../core/units.js';
import type { Logger } from '../observability/logger.js';
import type { CallerServer } from './caller-server.js';
import type { SessionCounters } from './caller-session.js';
import type { RelayHost } from './relay/relay-host.js';
import { afterPendingInput, pause } from './within.js';

/** Sessions end this long after the stop was asked for, so that no new callers come meanwhile. */
const DRAIN_DELAY_MS = 2200;
const DRAIN_CHECK_PERIOD_MS = 50;
/** Parts of the grace period that open transactions and running requests get. */
const TRANSACTION_GRACE_FRACTION = 0.5;
const REQUEST_GRACE_FRACTION = 0.9;

/** What a stop ends, and how long it may take. */
export interface StopOptions {
  readonly server: CallerServer;
  readonly relay: Pick<RelayHost, 'stopGranting' | 'drained'>;
  readonly counters: Pick<SessionCounters, 'refusedAtStop'>;
  readonly gracePeriodMs: Milliseconds;
  readonly now: () => Milliseconds;
  readonly logger: Logger | undefined;
}

/** Ends all sessions; resolves once none is left, or the time for it is over. */
export async function endSessions(parts: StopOptions): Promise<void> {
  const { server, relay, counters, gracePeriodMs, now, logger } = parts;
  const stoppedAt = now();
  const endsAt = stoppedAt + gracePeriodMs * REQUEST_GRACE_FRACTION;
  relay.stopGranting();
  const delayMs = Math.min(DRAIN_DELAY_MS, gracePeriodMs * TRANSACTION_GRACE_FRACTION);
  await pause(delayMs);
  // A process that is late here has left requests unread for as long.
  const lateMs = Math.round(now() - stoppedAt - delayMs);
  logger?.info('sessions told to leave', { sessions: server.sessionCount, lateMs });
  server.drain(false);
  await waitForSessions(parts, stoppedAt + gracePeriodMs * TRANSACTION_GRACE_FRACTION);
  server.drain(true);
  // Whoever came now, while nodes give back the connections that were lent to them, would be cut at the end of that.
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
