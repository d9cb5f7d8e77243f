import * as factStore from '../common/membership/FactStore';
import * as manualClock from '../common/ManualClock';
import * as policyFactory from '../common/policy/PolicyFactory';
import * as probeBudget from '../common/probing/ProbeBudget';
import * as serverRestraints from '../common/restraint/ServerRestraints';
import * as seededRandom from '../common/SeededRandom';
import * as requestSuspicion from '../common/suspicion/RequestSuspicion';
import * as fakeTransport from '../common/testing/FakeTransport';
import * as fixtures from '../common/testing/Fixtures';
import * as factExchange from './FactExchange';
import * as serviceSet from './ServiceSet';

const SERVER = '10.0.0.1:80';

function build(lostBefore: readonly string[] = []) {
  const clock = new manualClock.ManualClock();
  const random = new seededRandom.SeededRandom(1);
  const facts = new factStore.FactStore('10.0.1.1:1', clock, 1);
  const services = new serviceSet.ServiceSet(
    '10.0.1.1:1',
    () => policyFactory.createPolicy('random', random),
    new probeBudget.ProbeBudget(clock),
    new fakeTransport.FakeTransport(),
    clock,
  );
  services.update(fixtures.makeTable());
  const suspicion = new requestSuspicion.RequestSuspicion(clock);
  lostBefore.forEach((server) => suspicion.recordLoss('request', server));
  const members = { leavingServers: new Set<string>() };
  const restraints = new serverRestraints.ServerRestraints('10.0.1.1:1', clock, random);
  const exchange = new factExchange.FactExchange(
    facts,
    members,
    services,
    suspicion,
    clock,
    restraints,
  );
  exchange.start();
  const avoidance = () => services.balancerOf('status')?.avoidanceOf(SERVER);
  return { clock, facts, services, suspicion, members, avoidance, restraints };
}

function factOfPeer(
  kind: 'draining' | 'refusing' | 'suspect-request',
  subject: string,
  details: string[],
) {
  return { kind, subject, origin: 'peer', sequence: 1, ageMs: 10, lifetimeMs: 60_000, details };
}

test('announces a draining server to peers, and avoids one that a peer reported', () => {
  const { facts, services, avoidance } = build();
  services.balancerOf('status')?.eligibility.recordDraining(SERVER);
  expect(facts.about('draining', SERVER)).toHaveLength(1);
  facts.merge(factOfPeer('draining', '10.0.0.2:80', []));
  expect(avoidance()).toBe('leaving');
  expect(services.balancerOf('status')?.avoidanceOf('10.0.0.2:80')).toBe('leaving');
});

test('adds up the losses of a request at several daemons', () => {
  const { facts, suspicion } = build();
  suspicion.recordLoss('request', 'a');
  expect(facts.about('suspect-request', 'request')[0]?.details).toEqual(['a']);
  facts.merge(factOfPeer('suspect-request', 'request', ['b']));
  expect(suspicion.isSuspect('request')).toBe(true);
});

test('avoids a server within half a second while it is on the list of leaving VMs', () => {
  const { clock, members, avoidance } = build();
  members.leavingServers.add(SERVER);
  clock.advance(500);
  expect(avoidance()).toBe('leaving');
  members.leavingServers.clear();
  clock.advance(500);
  expect(avoidance()).toBeUndefined();
});

test('announces an ejection to peers', () => {
  const { facts, services, avoidance } = build();
  const fail = (address: string) => {
    const balancer = services.balancerOf('status');
    const server = balancer?.states.find((state) => state.address === address);
    if (balancer === undefined || server === undefined) throw new Error('no such server');
    balancer.recordEnd(balancer.recordStart(server), 'failed');
  };
  [1, 2, 3].forEach(() => fail(SERVER));
  expect(facts.about('refusing', SERVER)).toHaveLength(1);
  expect(avoidance()).toBe('ejected');
});

test('ejects a server on its first failure if a peer reported that it refuses work', () => {
  const { facts, services, avoidance } = build();
  facts.merge(factOfPeer('refusing', SERVER, []));
  expect(avoidance()).toBeUndefined();
  const balancer = services.balancerOf('status');
  const server = balancer?.states.find((state) => state.address === SERVER);
  if (balancer === undefined || server === undefined) throw new Error('no such server');
  balancer.recordEnd(balancer.recordStart(server), 'failed');
  expect(avoidance()).toBe('ejected');
});

test('avoids a newly listed server that a peer reported as draining before', () => {
  const { facts, services } = build();
  facts.merge(factOfPeer('draining', '10.0.0.4:80', []));
  services.update({ ...fixtures.makeTable({}, 4), version: 2 });
  expect(services.balancerOf('status')?.avoidanceOf('10.0.0.4:80')).toBe('leaving');
});

test('uses a subset of the servers of a large service', () => {
  const { services } = build();
  services.update({ ...fixtures.makeTable({}, 60), version: 2 });
  expect(services.balancerOf('status')?.states).toHaveLength(30);
});

// Guards against the leaving of a process that is taken for that of a later one at its address.
test('the leaving of a server process is shared as that of this process alone', () => {
  const { facts, restraints, avoidance } = build();
  const process = { address: SERVER, instance: 'i-1', startedAtMs: 17 };
  const signals = { limit: 'none', isLeaving: true, pauseMs: 0 } as const;
  restraints.record(process, signals, 'answer');
  restraints.record(process, signals, 'check');
  const shared = facts.about('draining', SERVER);
  expect(shared).toHaveLength(1);
  const peer = build();
  peer.facts.merge({ ...factOfPeer('draining', SERVER, []), details: shared[0]?.details ?? [] });
  expect(peer.restraints.restraintOf(process)).toBe('leaving');
  expect(peer.restraints.restraintOf({ ...process, startedAtMs: 18 })).toBeUndefined();
  expect(peer.avoidance()).toBeUndefined();
  expect(avoidance()).toBeUndefined();
});

// Guards against losses that peers never learn of, because they came while the daemon started.
test('losses from before the daemon joined the fleet are announced', () => {
  const { facts } = build(['a']);
  expect(facts.about('suspect-request', 'request')).toMatchObject([{ details: ['a'] }]);
});
