/** Parses addresses and numbers on the command line of the overhead bench. */
import { MeadowstackError } from '../../src/core/errors.js';

export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/** An invalid argument of the overhead bench. */
export class OverheadArgumentError extends MeadowstackError {
  readonly code = 'MS-BENCH-ARGUMENT';
}

const ADDRESS_PATTERN = /^(127(?:\.\d{1,3}){3}):(\d{1,5})$/;

/** @throws OverheadArgumentError unless it is an address in 127.0.0.0/8, since load may be sent nowhere else. */
export function parseAddress(text: string): NetworkAddress {
  const [, host, port] = ADDRESS_PATTERN.exec(text) ?? [];
  if (host !== undefined && port !== undefined) return { host, port: Number(port) };
  throw new OverheadArgumentError(`not a loopback address with port: ${JSON.stringify(text)}`);
}

/** @throws OverheadArgumentError unless it is a positive number. */
export function parsePositive(name: string, text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new OverheadArgumentError(`--${name} must be a number above zero, not ${text}`);
}
