import * as seededRandom from '../src/common/SeededRandom';
import * as keyProtocol from './KeyProtocol';
import * as keySpecification from './KeySpecification';
import * as realKeyProcesses from './RealKeyProcesses';
import * as traces from './Traces';

const protocol = new keyProtocol.KeyProtocol();

/**
 * Throws if `found` is none of the specified values. A million calls of `expect` would take most of
 * the time of the test.
 */
function checkEqual(what: string, found: unknown, specified: readonly unknown[]): void {
  if (specified.includes(found)) return;
  throw new Error(`${what}: found ${String(found)}, specified ${specified.join(' or ')}`);
}

function checkVerdict(
  state: keyProtocol.IKeyState,
  real: realKeyProcesses.RealKeyProcesses,
  attempt: number,
  process: number,
): void {
  const specified = state.processes[process] as keyProtocol.IProcessState;
  const verdict = protocol.verdictOn(state, attempt, specified);
  const content = state.attempts[attempt]?.content ?? 0;
  const found = real.claim(process, attempt, content);
  // A hand-over omits issuers whose keys have all expired. The caller gets "unknown" both from a
  // process that knows of the expiry and from one that does not know the key.
  const isExpired = specified.clock === 1 && verdict === 'unknown';
  checkEqual('claim', found, isExpired ? ['unknown', 'ignored'] : [verdict]);
}

function apply(
  state: keyProtocol.IKeyState,
  real: realKeyProcesses.RealKeyProcesses,
  event: keyProtocol.KeyEvent,
): void {
  switch (event.type) {
    case 'claim':
      checkVerdict(state, real, event.attempt, event.process);
      break;
    case 'complete': {
      const { completion } = state.attempts[event.attempt] as keyProtocol.IAttemptState;
      const recorded = real.complete(event.process, event.attempt, completion);
      // The record of an expired key can be dropped at any time, since no claim depends on it.
      if (state.processes[event.process]?.clock === 0) checkEqual('completion', recorded, [true]);
      break;
    }
    case 'expire-key':
      real.expire(event.process);
      break;
    case 'drop-record':
      checkEqual('records left', real.dropExpired(event.process), [0]);
      break;
    case 'close':
      real.close(event.process);
      break;
    case 'take-over': {
      const reply = real.deliverHandOver(event.from, event.process);
      const isExpired = state.processes[event.from]?.sent?.clock === 1;
      checkEqual('hand-over', reply, isExpired ? [true, undefined] : [true]);
      break;
    }
    case 'crash-and-restart':
      real.restart(event.process);
      break;
    default:
      // The other events happen in the claiming daemons, and reach an authority only as messages.
      break;
  }
}

/** Sends completions and hand-overs that the receiver must not apply in this state. */
function sendIgnored(state: keyProtocol.IKeyState, real: realKeyProcesses.RealKeyProcesses): void {
  state.processes.forEach((process, index) => {
    state.processes.forEach(({ sent }, from) => {
      // A hand-over may omit an issuer whose keys have all expired.
      const accepts = process.role === 'none' && process.incarnation === 0;
      if (sent === null || from + 1 !== index || accepts) return;
      const reply = real.deliverHandOver(from, index);
      const specified = process.role === 'deciding';
      checkEqual(
        'repeated hand-over',
        reply,
        sent.clock === 1 ? [specified, undefined] : [specified],
      );
    });
    state.attempts.forEach(({ completion }, attempt) => {
      const isIgnored = process.holder !== attempt || process.role !== 'deciding';
      if (completion === '' || !isIgnored) return;
      checkEqual('ignored completion', real.complete(index, attempt, completion), [false]);
    });
  });
}

function replay(events: readonly keyProtocol.KeyEvent[], attemptCount: number): void {
  const real = new realKeyProcesses.RealKeyProcesses();
  let state = keyProtocol.initialState(attemptCount);
  events.forEach((event) => {
    apply(state, real, event);
    state = protocol.next(state, event);
    sendIgnored(state, real);
  });
  state.processes.forEach((_process, process) => {
    state.attempts.forEach((_attempt, attempt) => {
      checkVerdict(state, real, attempt, process);
      state = protocol.next(state, { type: 'claim', attempt, process });
    });
  });
}

test('the authority matches the specification on a trace to every state with one attempt', () => {
  const specification = keySpecification.keySpecification(undefined, 1);
  const all = traces.tracesToAllStates(specification);
  expect(() => all.forEach((events) => replay(events, 1))).not.toThrow();
  expect(all.length).toBeGreaterThan(4_000);
});

test('the authority matches the specification on random traces with three attempts', () => {
  const specification = keySpecification.keySpecification();
  const random = new seededRandom.SeededRandom(11);
  const runs = Array.from({ length: 2_000 }, () => traces.randomTrace(specification, 40, random));
  expect(() => runs.forEach((events) => replay(events, 3))).not.toThrow();
});
