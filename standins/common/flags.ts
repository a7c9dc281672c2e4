/** Command lines of the stand-ins: Node's own parser, validated by zod, with a generated `--help`. */
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { InvalidFlagsError } from './errors.js';

const USAGE_EXIT_CODE = 2;
const HELP_COLUMN_WIDTH = 36;

/** Description of one flag for `--help`. */
export interface FlagDescription {
  /** Name of the value, such as `PORT`. */
  readonly placeholder: string;
  readonly text: string;
  /** True if the flag may be repeated; its value is then an array. */
  readonly multiple?: boolean;
}

/** Description of a program for `--help`. `Flags` are the flag names without the leading dashes. */
export interface ProgramDescription<Flags extends string> {
  readonly name: string;
  readonly summary: string;
  readonly flags: Readonly<Record<Flags, FlagDescription>>;
  readonly examples: readonly string[];
}

/** A TCP port flag; with 0 the system chooses the port. */
export const portFlag = z.coerce.number().int().min(0).max(65_535).default(0);
/** The address to listen on. */
export const hostFlag = z.string().min(1).default('127.0.0.1');
/** Descriptions of the flags that several stand-ins share. */
export const COMMON_FLAGS = {
  host: { placeholder: 'ADDRESS', text: 'address to listen on (127.0.0.1)' },
  port: { placeholder: 'PORT', text: 'port of the service; 0 selects a free port (0)' },
  'control-port': { placeholder: 'PORT', text: 'port of the control server (0)' },
} as const satisfies Record<string, FlagDescription>;

/** The text of `--help`. */
export function formatHelp<Flags extends string>(program: ProgramDescription<Flags>): string {
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
    'The first line on stdout is a JSON object with the bound ports. Exits when stdin closes.',
    '',
    'Examples',
    ...examples,
    '',
  ].join('\n');
}

/**
 * Parses and validates flags.
 * @throws InvalidFlagsError if a flag is unknown or its value does not match the schema.
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
    throw new InvalidFlagsError(cause instanceof Error ? cause.message : 'invalid flags', {
      cause,
    });
  }
}

/** Reads the flags of this process. Prints the help text and exits on `--help` or an invalid flag. */
export function readFlags<Flags extends string, Schema extends z.ZodType>(
  program: ProgramDescription<Flags>,
  schema: Schema,
): z.output<Schema> {
  const argv = process.argv.slice(2);
  if (argv.includes('--help') || argv.includes('-h')) {
    process.stdout.write(formatHelp(program));
    process.exit(0);
  }
  try {
    return parseFlags(program, schema, argv);
  } catch (error) {
    if (!(error instanceof InvalidFlagsError)) throw error;
    process.stderr.write(`${error.message}\n\n${formatHelp(program)}`);
    process.exit(USAGE_EXIT_CODE);
  }
}
