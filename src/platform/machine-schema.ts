/** Schema of an entry of the platform's machine list, as received over HTTP. */
import { z } from 'zod';
import type { Machine } from './contract.js';

const name = z.string().min(1).max(253);
const port = z.int().min(1).max(65_535);
const state = z.enum(['live', 'leaving']);
const host = z.union([z.ipv4(), z.ipv6()]);

const proxyMachine = z.object({
  role: z.literal('proxy'),
  name,
  zone: name,
  host,
  peerPort: port,
  state,
});

const databaseMachine = z.object({
  role: z.literal('database'),
  name,
  group: name,
  zone: name,
  host,
  port,
  slots: z.int().positive(),
  maxConnections: z.int().positive(),
  state,
});

/** Unknown fields are dropped, so that the platform may add some. */
export const machineSchema: z.ZodType<Machine> = z.discriminatedUnion('role', [
  proxyMachine,
  databaseMachine,
]);
