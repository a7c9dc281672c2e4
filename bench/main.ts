/** `npm run bench`: dispatches on the sub-command. */
import { runOverheadBench } from './overhead/main.js';

const SUB_COMMANDS: ReadonlyMap<string, (args: readonly string[]) => Promise<number>> = new Map([
  ['overhead', runOverheadBench],
]);

const [first = '', ...rest] = process.argv.slice(2);
const subCommand = SUB_COMMANDS.get(first);
if (subCommand === undefined) {
  console.error(`usage: npm run bench -- ${[...SUB_COMMANDS.keys()].join('|')} [options]`);
  process.exitCode = 2;
} else {
  process.exitCode = await subCommand(rest);
}
