/** Converts endpoint URLs of the settings to host and port. */
import type { ServiceEndpoint } from '../platform/http-exchange.js';

const HTTP_PORT = 80;

/** Parses a URL that the settings' schema has checked. */
export function parseEndpoint(url: string): ServiceEndpoint {
  const { hostname, port } = new URL(url);
  return { host: hostname, port: port === '' ? HTTP_PORT : Number(port) };
}
