/**
 * Replaces literals in a statement's text by parameters, so that texts that differ only in literals
 * share one syntax tree and one plan. The parser is by far the most expensive part of a simple query.
 */
import type { TypeName } from './types.js';

export interface ParameterizedText {
  /** The statement with `$n` in place of literals. */
  readonly text: string;
  /** Undefined: the type is inferred from the use, as for any quoted literal. */
  readonly types: readonly (TypeName | undefined)[];
  readonly values: readonly string[];
}

const APPLICABLE = /^(?:select|insert|update|delete)\b/i;
/** Constructs where a parameter would have a different meaning than the literal. */
const EXCLUDED = /\$\d|\border\s+by\s+\d|\b(?:interval|timestamp|timestamptz|date|time)\s*'|\be'/i;
/** Quoted names, words and non-integer numbers stay; strings and int4 integers become parameters. */
const TOKENS = /"(?:[^"]|"")*"|[A-Za-z_][\w$]*|\d+\.\d*|\d+[eE]\d+|'(?:[^']|'')*'|\d+/g;
const INTEGER = /^\d{1,9}$/;

/** Undefined if the text has no literals, or contains a construct that is not parameterized. */
export function parameterize(text: string): ParameterizedText | undefined {
  if (!APPLICABLE.test(text) || EXCLUDED.test(text)) return undefined;
  const types: (TypeName | undefined)[] = [];
  const values: string[] = [];
  const parameterized = text.replace(TOKENS, (token) => {
    const quoted = token.startsWith("'");
    if (!quoted && !INTEGER.test(token)) return token;
    types.push(quoted ? undefined : 'int4');
    values.push(quoted ? token.slice(1, -1).replaceAll("''", "'") : token);
    return `$${values.length}`;
  });
  return values.length === 0 ? undefined : { text: parameterized, types, values };
}
