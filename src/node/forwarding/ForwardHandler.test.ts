import * as manualClock from '../../common/ManualClock';
import * as serverReach from '../../common/reach/ServerReach';
import * as routeTable from '../../common/routing/RouteTable';
import * as splits from '../../common/routing/Splits';
import * as seededRandom from '../../common/SeededRandom';
import * as fixtures from '../../common/testing/Fixtures';
import * as peer from '../peer/generated/peer';
import * as forwardHandler from './ForwardHandler';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

/** Forwards a call for `status` to a daemon whose version 5 routes it to `service`. */
function forward(service: string, configurationVersion: number | undefined) {
  const clock = new manualClock.ManualClock();
  const table = fixtures.makeTable();
  const services = new Map(
    ['status', 'other'].map((name) => [name, table.services.get('status')!]),
  );
  const target = {
    ...{ name: 'r', host: 'h', prefix: '/x/', idempotent: true, timeoutMs: 9, objectiveMs: 9 },
    ...{ priority: 0, maxAttempts: 1, targets: [{ service, weight: 1 }] },
  };
  const configuration = { version: 5, routes: [target], services: [], limits: LIMITS };
  const routeSplits = new splits.Splits(new seededRandom.SeededRandom(1));
  const routes = new routeTable.RouteTable(configuration, services, routeSplits);
  const started: string[] = [];
  const handler = new forwardHandler.ForwardHandler(
    { table: { ...table, routes }, phase: 'ready' },
    {
      start: (call) => {
        started.push(call.service.name);
        return { cancel: () => undefined };
      },
    },
    new serverReach.ServerReach(clock),
    clock,
  );
  const replies: peer.ForwardReply[] = [];
  const request = peer.ForwardRequest.fromPartial({
    ...{ service: 'status', path: '/x/1?q', method: 'GET', headers: ['host', 'h'] },
    ...{ remainingMs: 9, configurationVersion },
  });
  handler.forward(request, (reply) => replies.push(reply));
  return { started, isRefused: replies[0]?.refused?.cannotHelp === true };
}

const RUN = { started: ['status'], isRefused: false };
const REFUSED = { started: [], isRefused: true };

// Guards against servers that get from one daemon calls of a newer version, and then of an older one.
test.each([
  ['the same version is run', 'status', 5, RUN],
  ['a version of which this daemon does not know is refused', 'status', 6, REFUSED],
  ['an older version is refused if the route has changed', 'other', 4, REFUSED],
  ['an older version is run if the route has not changed', 'status', 4, RUN],
  ['an unknown version is run', 'other', undefined, RUN],
] as const)('a forwarded call of %s', (_case, service, version, expected) => {
  expect(forward(service, version)).toEqual(expected);
});
