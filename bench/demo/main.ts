/** `npm run demo`: runs one of the two programs against stand-ins while a primary is killed. */
import { parseArgs } from 'node:util';

const USAGE = `npm run demo -- [--direct]
  (no option)  meadowstack proxy: PostgreSQL callers whose sessions move between two proxies
  --direct     the direct gateway: two gateways of the users' platform

The last line on standard output is JSON with the figures.

Exit codes:
  0  everything ran, and no promise was violated
  1  a promise was violated
  2  invalid flags`;
const EXIT_USAGE = 2;

const DEMOS = {
  postgres: () => import('./postgres.js'),
  direct: () => import('./direct.js'),
} as const;

function readFlags() {
  try {
    const options = { direct: { type: 'boolean' }, help: { type: 'boolean' } } as const;
    return parseArgs({ options }).values;
  } catch (error) {
    console.error(`${error instanceof Error ? error.message : String(error)}\n\n${USAGE}`);
    return process.exit(EXIT_USAGE);
  }
}

const { direct, help } = readFlags();
if (help === true) console.log(USAGE);
else await DEMOS[direct === true ? 'direct' : 'postgres']();
