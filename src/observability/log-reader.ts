/** Parses the log lines of nodes: one JSON object per line. */

export interface LogLine {
  /** Milliseconds since the Unix epoch, by the clock of the node that wrote it. */
  readonly timeMs: number;
  readonly node: string;
  readonly event: string;
  /** Index in its file; the file has the lines in the order in which the node wrote them. */
  readonly lineIndex: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface LogFile {
  readonly lines: readonly LogLine[];
  /** Number of lines that are not log lines, such as the output of a crash or a truncated last line. */
  readonly unreadable: number;
}

/** `text`: the contents of one log file. */
export function readLog(text: string): LogFile {
  const lines: LogLine[] = [];
  let unreadable = 0;
  for (const [lineIndex, rawLine] of text.split('\n').entries()) {
    if (rawLine.trim() === '') continue;
    const line = readLine(rawLine, lineIndex);
    if (line === undefined) unreadable += 1;
    else lines.push(line);
  }
  return { lines, unreadable };
}

/** Text before the JSON object, such as a log collector's time and node name, is ignored. */
function readLine(raw: string, lineIndex: number): LogLine | undefined {
  const start = raw.indexOf('{');
  if (start < 0) return undefined;
  const fields = parseObject(raw.slice(start));
  if (fields === undefined) return undefined;
  const { time, node, event } = fields;
  const timeMs = typeof time === 'string' ? Date.parse(time) : Number.NaN;
  if (Number.isNaN(timeMs) || typeof event !== 'string') return undefined;
  return { timeMs, node: typeof node === 'string' ? node : '', event, lineIndex, fields };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? { ...value } : undefined;
  } catch {
    return undefined;
  }
}
