/** Reads the processor time of another process from `/proc/<pid>/stat`, see proc(5). */
import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
/** Indexes of utime and stime among the fields after the closing parenthesis of the command (0 is the state). */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** User and system time of a process in seconds; undefined if it can't be read. */
export function readProcessorSeconds(pid: number): number | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'latin1');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    return ticks / TICKS_PER_SECOND;
  } catch {
    return undefined;
  }
}
