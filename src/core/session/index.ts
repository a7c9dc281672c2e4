/** Sessions: the log position a session has observed in each group, and how proxies share it. */
export * from './errors.js';
export * from './home-nodes.js';
export * from './position-check.js';
export * from './position-table.js';
export * from './state.js';
export * from './token.js';
