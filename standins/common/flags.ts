/** Command lines of the stand-ins: node's own parser, checked by zod, with a generated `--help`. */
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { InvalidFlagsError } from './errors.js';

const USAGE_EXIT_CODE = 2;
const HELP_COLUMN_WIDTH = 36;

/** How one flag is shown in `--help`. */
export interface FlagDescription {
  /** Name of the value, such as `PORT`. */
  readonly placeholder: string;
  readonly text: string;
  /** True if the flag may be given several times; its value is then an array. */
  readonly multiple?: boolean;
}

/** A program as `--help` shows it. `Flags` are the flag names without the leading dashes. */
export interface ProgramDescription<Flags extends string> {
  readonly name: string;
  readonly summary: string;
  readonly flags: Readonly<Record<Flags, FlagDescription>>;
  readonly examples: readonly string[];
}

/** A TCP port flag; 0 lets the system choose. */
export const portFlag = z.coerce.number().int().min(0).max(65_535).default(0);
/** The address to listen on. */
export const hostFlag = z.string().min(1).default('127.0.0.1');
/** Shared descriptions of the flags that every stand-in has. */
export const COMMON_FLAGS = {
  host: { placeholder: 'ADDRESS', text: 'address to listen on (127.0.0.1)' },
  port: { placeholder: 'PORT', text: 'port of the service; 0 chooses a free one (0)' },
  'control-port': { placeholder: 'PORT', text: 'port of the control server (0)' },
} as const satisfies Record<string, FlagDescription>;

/** The text of `--help`. */
export function helpText<Flags extends string>(program: ProgramDescription<Flags>): string {
  const flags = Object.entries<FlagDescription>(program.flags).map(([name, flag]) => {
    const usage = `  --${name} ${flag.placeholder}${flag.multiple ? ' ...' : ''}`;
    return `${usage.padEnd(HELP_COLUMN_WIDTH)}${flag.text}`;
  });
  const examples = program.examples.map((example) => `  ${example}`);
  return [
    `${program.name}: ${program.summary}`,
    '',
    'Flags (defaults in brackets)',
    ...flags,
    `${'  --help'.padEnd(HELP_COLUMN_WIDTH)}show this text`,
    '',
    'The first line on stdout is a JSON object with the bound ports. Ends when stdin closes.',
    '',
    'Examples',
    ...examples,
    '',
  ].join('\n');
}

/**
 * Parses and checks flags.
 * @throws InvalidFlagsError if a flag is unknown or its value does not fit the schema.
 */
export function parseFlags<Flags extends string, Schema extends z.ZodType>(
  program: ProgramDescription<Flags>,
  schema: Schema,
  argv: readonly string[],
): z.output<Schema> {
  const options = Object.fromEntries(
    Object.entries<FlagDescription>(program.flags).map(([name, flag]) => [
      name,
      { type: 'string' as const, multiple: flag.multiple ?? false },
    ]),
  );
  const parsed = schema.safeParse(readValues(argv, options));
  if (parsed.success) return parsed.data;
  throw new InvalidFlagsError(z.prettifyError(parsed.error));
}

function readValues(
  argv: readonly string[],
  options: Record<string, { type: 'string'; multiple: boolean }>,
): Record<string, unknown> {
  try {
    return { ...parseArgs({ args: [...argv], options }).values };
  } catch (cause) {
    throw new InvalidFlagsError(cause instanceof Error ? cause.message : 'bad flags', { cause });
  }
}

/** The flags of this process. Prints the help text and exits on `--help` or on a wrong flag. */
export function readFlags<Flags extends string, Schema extends z.ZodType>(
  program: ProgramDescription<Flags>,
  schema: Schema,
): z.output<Schema> {
  const argv = process.argv.slice(2);
  if (argv.includes('--help') || argv.includes('-h')) {
    process.stdout.write(helpText(program));
    process.exit(0);
  }
  try {
    return parseFlags(program, schema, argv);
  } catch (error) {
    if (!(error instanceof InvalidFlagsError)) throw error;
    process.stderr.write(`${error.message}\n\n${helpText(program)}`);
    process.exit(USAGE_EXIT_CODE);
  }
}
