/** Requests that run at most once, told apart by the caller's key. */
export * from './claim.js';
export * from './errors.js';
export * from './execution.js';
