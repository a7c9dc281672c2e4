/** Sessions: what a session has seen per group, and how that travels from proxy to proxy. */
export * from './errors.js';
export * from './home-nodes.js';
export * from './position-check.js';
export * from './position-table.js';
export * from './state.js';
export * from './token.js';
