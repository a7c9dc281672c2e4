/** Turns endpoint URLs of the settings into host and port. */
import type { ServiceEndpoint } from '../platform/http-exchange.js';

const HTTP_PORT = 80;

/** `url` was checked by the settings' schema. */
export function endpointOf(url: string): ServiceEndpoint {
  const { hostname, port } = new URL(url);
  return { host: hostname, port: port === '' ? HTTP_PORT : Number(port) };
}
