/** The fault-injecting TCP proxy as a process: `node dist/standins/fault-proxy/main.js --help`. */
import { z } from 'zod';
import { controlRoute, createControlServer } from '../common/control-server.js';
import { ControlRequestError } from '../common/errors.js';
import { COMMON_FLAGS, hostFlag, portFlag, readFlags } from '../common/flags.js';
import { announcePorts, exitWithParent, listen } from '../common/process.js';
import { Route, type RouteState } from './route.js';
import { delayTimerFactory } from './scheduler.js';
import {
  type RouteDefinition,
  routeDefinition,
  routeFaultSettings,
  routeFlag,
} from './settings.js';

const flags = readFlags(
  {
    name: 'fault-proxy',
    summary: 'TCP proxy that injects faults, only such as can occur with TCP',
    flags: {
      host: COMMON_FLAGS.host,
      'control-port': COMMON_FLAGS['control-port'],
      route: {
        placeholder: 'ROUTE',
        text: 'name=listenHost:port->targetHost:port; listen port 0 selects a free port',
        multiple: true,
      },
      timing: {
        placeholder: 'KIND',
        text: 'coarse, or precise: below a millisecond, uses up to one CPU core (coarse)',
      },
    },
    examples: [
      "node dist/standins/fault-proxy/main.js --route 'a=127.0.0.1:0->127.0.0.1:5432'",
      'curl -d \'{"up":{"cut":true}}\' http://127.0.0.1:CONTROL/routes/a/faults',
    ],
  },
  z.object({
    host: hostFlag,
    'control-port': portFlag,
    route: z.array(routeFlag).default([]),
    timing: z.enum(['coarse', 'precise']).default('coarse'),
  }),
);

exitWithParent();
const newTimer = delayTimerFactory(flags.timing === 'precise');
const routes = new Map<string, Route>();

async function addRoute(definition: RouteDefinition): Promise<RouteState> {
  if (routes.has(definition.name)) throw new ControlRequestError(409, 'route exists');
  const route = new Route(definition, newTimer);
  routes.set(definition.name, route);
  try {
    await route.open();
  } catch (error) {
    routes.delete(definition.name);
    throw error;
  }
  return route.state();
}

function requireRoute(name: string | undefined): Route {
  const route = name === undefined ? undefined : routes.get(name);
  if (route === undefined) throw new ControlRequestError(404, 'no such route');
  return route;
}

function allStates(): RouteState[] {
  return [...routes.values()].map((route) => route.state());
}

const emptyBody = z.object({});
const halfOpenBody = z.object({ closedSide: z.enum(['client', 'target']) });

const control = createControlServer([
  controlRoute('POST', '/routes', routeDefinition, addRoute),
  controlRoute('GET', '/routes', emptyBody, () => ({ routes: allStates() })),
  controlRoute('GET', '/routes/:name', emptyBody, (_body, { name }) => requireRoute(name).state()),
  controlRoute('DELETE', '/routes/:name', emptyBody, (_body, { name = '' }) => {
    requireRoute(name).close();
    routes.delete(name);
  }),
  controlRoute('POST', '/routes/:name/faults', routeFaultSettings, async (body, { name }) => {
    const route = requireRoute(name);
    await route.apply(body);
    return route.state();
  }),
  controlRoute('POST', '/routes/:name/heal', emptyBody, async (_body, { name }) => {
    const route = requireRoute(name);
    await route.heal();
    return route.state();
  }),
  controlRoute('POST', '/routes/:name/reset', emptyBody, (_body, { name }) => ({
    connections: requireRoute(name).resetConnections(),
  })),
  controlRoute('POST', '/routes/:name/half-open', halfOpenBody, (body, { name }) => ({
    connections: requireRoute(name).halfOpenConnections(body.closedSide),
  })),
]);

for (const definition of flags.route) await addRoute(definition);
const controlPort = await listen(control, flags.host, flags['control-port']);
announcePorts({ service: 'fault-proxy', host: flags.host, controlPort, routes: allStates() });
