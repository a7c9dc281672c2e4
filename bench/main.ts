/** `npm run bench`: runs a sub-command; without one, benches a deployment. */
import { runDeploymentBench } from './deployment-bench.js';
import { runDirectIsolationBench } from './direct-isolation/main.js';
import { runIsolationBench } from './isolation/main.js';
import { runOverheadBench } from './overhead/main.js';

const SUB_COMMANDS: ReadonlyMap<string, (args: readonly string[]) => Promise<number>> = new Map([
  ['deployment', runDeploymentBench],
  ['overhead', runOverheadBench],
  ['isolation', runIsolationBench],
  ['direct-isolation', runDirectIsolationBench],
]);

const [first = '', ...rest] = process.argv.slice(2);
const subCommand = SUB_COMMANDS.get(first);
process.exitCode =
  subCommand === undefined
    ? await runDeploymentBench(process.argv.slice(2))
    : await subCommand(rest);
