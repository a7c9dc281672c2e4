/** Requests that run at most once, identified by an idempotency key from the caller. */
export * from './claim.js';
export * from './errors.js';
export * from './execution.js';
