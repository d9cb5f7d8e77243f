import * as undici from 'undici';

import * as fixtures from '../../common/testing/Fixtures';
import * as refusalLog from '../telemetry/RefusalLog';
import * as diagnostics from './Diagnostics';
import * as operatorServer from './OperatorServer';

const PROBES = { fleetBudget: 50, share: 2, inFlight: 0, waiting: 0, timedOut: 0 };
const SERVER = '10.0.0.1:80';

let rig: fixtures.IRig;
let server: operatorServer.OperatorServer;
let daemonState: {
  -readonly [K in keyof diagnostics.IDiagnosticsState]: diagnostics.IDiagnosticsState[K];
};

beforeEach(async () => {
  rig = fixtures.makeRig();
  daemonState = {
    phase: 'ready',
    peerAddress: '10.0.1.1:1',
    failureDomain: 'a',
    policy: 'least-in-flight',
    table: { ...rig.table, version: 7 },
    fleet: {
      members: [{ record: { address: '10.0.1.2:1', tableVersion: 6 }, state: 'live', silentMs: 3 }],
      departed: [],
      facts: [],
      tableConflicts: 0,
      rejectedTables: 1,
    } as unknown as diagnostics.IDiagnosticsState['fleet'],
    balancers: new Map([['status', rig.balancer]]),
    refusals: new refusalLog.RefusalLog(rig.clock),
    callsInFlight: 0,
    callsAnswered: 4,
    probes: [{ ...PROBES, service: 'status', sent: 2 }],
    probeStop: 'after-start',
    keyClaims: 0,
    connectionsOf: () => ({ open: 2, idle: 1 }),
  };
  server = new operatorServer.OperatorServer(
    new diagnostics.Diagnostics(() => daemonState, rig.clock),
  );
  await server.listen('127.0.0.1', 0, () => undefined);
});

afterEach(() => server.close());

async function get(path: string): Promise<{ status: number; body: unknown }> {
  const reply = await undici.request(`http://127.0.0.1:${server.port}${path}`);
  return { status: reply.statusCode, body: await reply.body.json() };
}

// Guards against a platform balancer that keeps sending callers to a daemon that is shutting down.
test('reports ready only in the phase `ready`', async () => {
  expect(await get('/ready')).toEqual({
    status: 200,
    body: { ready: true, phase: 'ready', tableVersion: 7 },
  });
  daemonState.phase = 'draining';
  expect(await get('/ready')).toMatchObject({ status: 503, body: { ready: false } });
});

test('reports the state of the daemon and of its peers', async () => {
  const { body } = await get('/status');
  expect(body).toMatchObject({
    tableVersion: 7,
    callsAnswered: 4,
    fleet: { members: [{ tableVersion: 6 }] },
  });
});

test('explains why a server is avoided', async () => {
  const usable = { usable: true, avoidedBecause: null, latencyMs: null, report: null };
  expect(await get(`/explain/server/${SERVER}`)).toMatchObject({
    status: 200,
    body: { connections: { open: 2 }, services: [{ service: 'status', ...usable }] },
  });
  rig.balancer.recordReport(SERVER, { inFlight: 1, queued: 2, draining: true });
  rig.clock.advance(40);
  const leaving = { usable: false, avoidedBecause: 'leaving', reportAgeMs: 40 };
  expect(await get(`/explain/server/${SERVER}`)).toMatchObject({ body: { services: [leaving] } });
  expect(await get('/explain/server/10.9.9.9:1')).toMatchObject({ status: 404 });
});

test('lists refusals with their reasons', async () => {
  const record = { requestId: 'r', service: 'a', kind: 'overloaded', outcome: 'not-run' } as const;
  daemonState.refusals.add({ ...record, detail: 'd', dispatched: false, tableVersion: 7 });
  expect(await get('/explain/refusals')).toMatchObject({
    body: { totals: { overloaded: 1 }, recent: [{ requestId: 'r', detail: 'd' }] },
  });
});

test('reports the use of the budgets and the versions of the table', async () => {
  expect(await get('/explain/budget')).toMatchObject({
    body: {
      probesPerAnsweredCall: 0.5,
      probesStoppedBecause: 'after-start',
      services: [{ service: 'status', sent: 2 }],
    },
  });
  expect(await get('/explain/table')).toMatchObject({
    body: { version: 7, rejected: 1, versions: [{ tableVersion: 7 }, { tableVersion: 6 }] },
  });
});

test('answers an unknown path with 404', async () => {
  expect(await get('/explain')).toMatchObject({
    status: 404,
    body: { error: 'there is no GET /explain' },
  });
});
