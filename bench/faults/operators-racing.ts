/** Several operators publish changes to the same tenant at the same time. */
import type { Fault } from './fault.js';
import { publishUntil } from './publishing.js';

const OPERATORS = ['operator-1', 'operator-2', 'operator-3'];

export const OPERATORS_RACING: Fault = {
  name: 'operators-racing',
  summary: 'three operators publish changes to the same tenant at once',
  lengthMs: 3_000,
  begin: async (context) => {
    const stops = OPERATORS.map((operator) => publishUntil(context, operator));
    return {
      target: context.tenant.name,
      primaryFailures: [],
      end: async () => {
        await Promise.all(stops.map((stop) => stop()));
      },
    };
  },
};
