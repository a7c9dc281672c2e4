/** Processor time of another process. Source: proc(5), `/proc/<pid>/stat`. */
import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
/** Fields behind the command's closing parenthesis: state is the first, utime and stime follow. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** User and system time in seconds since the process's start; undefined if it can't be read. */
export function processorSeconds(pid: number): number | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'latin1');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    return ticks / TICKS_PER_SECOND;
  } catch {
    return undefined;
  }
}
