import type * as callTypes from '../../common/call/Types';
import * as manualClock from '../../common/ManualClock';
import * as helperChoice from '../../common/reach/HelperChoice';
import * as serverReach from '../../common/reach/ServerReach';
import * as seededRandom from '../../common/SeededRandom';
import * as fixtures from '../../common/testing/Fixtures';
import type * as tableTypes from '../../common/table/Types';
import type * as peer from '../peer/generated/peer';
import * as callForwarder from './CallForwarder';
import * as forwardMessages from './ForwardMessages';

const MAX_ATTEMPTS = 3;
const LOST = { kind: 'unknown', reason: 'connection-lost', detail: 'd', dispatched: true } as const;
const REFUSED = { kind: 'not-run', reason: 'overloaded', detail: 'busy' } as const;

let clock: manualClock.ManualClock;
let reach: serverReach.ServerReach;
let requests: peer.ForwardRequest[];
let outcomes: callTypes.CallOutcome[];

beforeEach(() => {
  clock = new manualClock.ManualClock();
  reach = new serverReach.ServerReach(clock);
  requests = [];
  outcomes = [];
});

/** Starts a call that is lost here after some attempts, and is refused by the peer. */
function startLost(attempts: number): void {
  const table = fixtures.makeTable({ idempotent: true });
  const random = new seededRandom.SeededRandom(1);
  const own = { address: '10.0.1.1:1', failureDomain: 'a' };
  const peers = [{ address: '10.0.0.1:1', failureDomain: 'a' }];
  const forwarder = new callForwarder.CallForwarder(
    {
      start: (_call, onOutcome) => {
        reach.setServers([{ service: 'status', address: '10.0.0.2:1' }]);
        reach.recordAsked({ service: 'status', address: '10.0.0.2:1' });
        for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 10) clock.advance(10);
        onOutcome({ ...LOST, attempts });
        return { cancel: () => undefined };
      },
    },
    reach,
    {
      takeRetryPermit: () => true,
      helpers: new helperChoice.HelperChoice(own, () => peers, clock, random),
      peers: {
        forward: (_address, request, onReply) => {
          requests.push(request);
          onReply({ kind: 'reply', reply: forwardMessages.toReply(REFUSED) });
          return { cancel: () => undefined };
        },
      },
      observer: { onForwarded: () => undefined },
      clock,
    },
  );
  const call = {
    ...{ requestId: 'r', table, method: 'GET', path: '/', headers: [], body: new Uint8Array() },
    service: table.services.get('status') as tableTypes.IServiceRow,
    ...{ depth: 0, retriesSpent: 0, fingerprint: '', deadlineMs: 5_000 },
    maxAttempts: MAX_ATTEMPTS,
  };
  forwarder.start(call, (outcome) => outcomes.push(outcome));
}

// Guards against "not run" for a call that a server of this daemon may have run before the cut.
test('a refusal by a peer does not hide that the call may have run here', () => {
  startLost(1);
  expect(outcomes).toMatchObject([{ kind: 'unknown', reason: 'connection-lost' }]);
});

// Guards against more servers for one request than its route allows.
test('a peer gets the attempts that are left', () => {
  startLost(2);
  expect(requests).toMatchObject([{ maxAttempts: 1 }]);
});

test('a call without attempts left is not forwarded', () => {
  startLost(MAX_ATTEMPTS);
  expect(requests).toEqual([]);
  expect(outcomes).toMatchObject([LOST]);
});
