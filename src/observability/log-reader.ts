/** Log lines of nodes as they were written: one JSON object in each line. */

/** One line. */
export interface LogLine {
  /** Milliseconds since the Unix epoch, by the clock of the node that wrote it. */
  readonly timeMs: number;
  readonly node: string;
  readonly event: string;
  /** Position among the lines of its file, which is the order in which the node wrote them. */
  readonly place: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What a file holds. */
export interface LogFile {
  readonly lines: readonly LogLine[];
  /** Lines that are no log lines, as where a program failed or a file was cut off. */
  readonly unreadable: number;
}

/** Reads the text of one file. */
export function readLog(text: string): LogFile {
  const lines: LogLine[] = [];
  let unreadable = 0;
  for (const [place, raw] of text.split('\n').entries()) {
    if (raw.trim() === '') continue;
    const line = readLine(raw, place);
    if (line === undefined) unreadable += 1;
    else lines.push(line);
  }
  return { lines, unreadable };
}

/** What stands before the object, as a collector's own time and name, is left out. */
function readLine(raw: string, place: number): LogLine | undefined {
  const start = raw.indexOf('{');
  if (start < 0) return undefined;
  const fields = parseObject(raw.slice(start));
  if (fields === undefined) return undefined;
  const { time, node, event } = fields;
  const timeMs = typeof time === 'string' ? Date.parse(time) : Number.NaN;
  if (Number.isNaN(timeMs) || typeof event !== 'string') return undefined;
  return { timeMs, node: typeof node === 'string' ? node : '', event, place, fields };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? { ...value } : undefined;
  } catch {
    return undefined;
  }
}
