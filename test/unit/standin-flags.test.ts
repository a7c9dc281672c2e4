import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { InvalidFlagsError } from '../../standins/common/errors.js';
import {
  COMMON_FLAGS,
  formatHelp,
  hostFlag,
  parseFlags,
  portFlag,
} from '../../standins/common/flags.js';
import { routeFlag } from '../../standins/fault-proxy/settings.js';

const program = {
  name: 'example',
  summary: 'an example',
  flags: {
    host: COMMON_FLAGS.host,
    port: COMMON_FLAGS.port,
    route: { placeholder: 'ROUTE', text: 'a route', multiple: true },
  },
  examples: ['example --port 1'],
};
const schema = z.object({
  host: hostFlag,
  port: portFlag,
  route: z.array(routeFlag).default([]),
});
const parse = (...argv: string[]) => parseFlags(program, schema, argv);

test('absent flags have defaults', () => {
  assert.equal(parse(), { host: '127.0.0.1', port: 0, route: [] });
});

test('a route is parsed into its listening and target addresses', () => {
  const { route } = parse('--route', 'a=127.0.0.1:0->127.0.0.2:5432');
  assert.equal(route, [
    {
      name: 'a',
      listenHost: '127.0.0.1',
      listenPort: 0,
      targetHost: '127.0.0.2',
      targetPort: 5432,
    },
  ]);
});

test('invalid flags are refused', () => {
  const wrong = [
    ['--unknown', '1'],
    ['--port', '65536'],
    ['--port', 'x'],
    ['--host', ''],
    ['--route', 'a=127.0.0.1->127.0.0.1:5432'],
    ['--route', 'a=127.0.0.1:0->127.0.0.1:99999'],
    ['stray'],
  ];
  for (const argv of wrong) {
    assert.throws(
      () => parse(...argv),
      (error: unknown) => error instanceof InvalidFlagsError,
      argv.join(' '),
    );
  }
});

test('the help text lists each flag', () => {
  const help = formatHelp(program);
  for (const name of ['--host', '--port', '--route', '--help']) assert.match(help, name);
});

test.run();
