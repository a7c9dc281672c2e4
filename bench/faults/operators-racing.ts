/** Several operators publish changes to one tenant concurrently. */
import type { Fault } from './fault.js';
import { startPublishing } from './publishing.js';

const OPERATORS = ['operator-1', 'operator-2', 'operator-3'];

export const OPERATORS_RACING: Fault = {
  name: 'operators-racing',
  summary: 'three operators publish changes to the same tenant at once',
  durationMs: 3_000,
  begin: async (context) => {
    const stops = OPERATORS.map((operator) => startPublishing(context, operator));
    return {
      target: context.tenant.name,
      primaryFailures: [],
      end: async () => {
        await Promise.all(stops.map((stop) => stop()));
      },
    };
  },
};
