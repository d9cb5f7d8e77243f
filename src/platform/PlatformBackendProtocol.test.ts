import type * as tableTypes from '../common/table/Types';
import * as platformBackendProtocol from './PlatformBackendProtocol';

const protocol = new platformBackendProtocol.PlatformBackendProtocol();
const CALL = { requestId: 'id-1' };
const SIGNED = ['request-id', 'id-1', 'response-signature', 's'];
const SERVER = { address: '10.0.0.1:80', instance: 'i-1' } as tableTypes.IServerRow;

function classify(status: number, headers: readonly string[] = SIGNED) {
  return protocol.classifyResponse(CALL, status, headers).kind;
}

// Guards against forwarding an answer that is unsigned or belongs to another request.
test('only a signed answer to this request is accepted', () => {
  expect(classify(200)).toBe('answer');
  expect(classify(200, ['request-id', 'id-2', 'response-signature', 's'])).toBe('invalid');
  expect(classify(200, ['request-id', 'id-1'])).toBe('invalid');
  expect(classify(200, [...SIGNED, 'content-encoding', 'gzip'])).toBe('invalid');
});

// Guards against reporting "not run" for a request that ran.
test('a status that means "not run" needs a header that confirms it, except 421', () => {
  [408, 429, 503].forEach((status) => expect(classify(status)).toBe('invalid'));
  [400, 429, 503].forEach((status) =>
    expect(classify(status, ['not-executed', '1'])).toBe('refused'),
  );
  expect(classify(421, [])).toBe('refused');
});

test('only a server error is an answer that counts as a failure', () => {
  expect(protocol.classifyResponse(CALL, 500, SIGNED)).toEqual({ kind: 'answer', isFailure: true });
  expect(protocol.classifyResponse(CALL, 404, SIGNED)).toEqual({
    kind: 'answer',
    isFailure: false,
  });
});

test('the load header has three or four numbers', () => {
  const read = (text: string) => protocol.readLoad(['server-load', text]);
  expect(read('2,1,3')).toEqual({ inFlight: 2, queued: 1, draining: false, slowdown: undefined });
  expect(read('2,1,3,500')).toMatchObject({ slowdown: 5 });
  expect(read('two,1,3')).toBeUndefined();
  expect(protocol.readLoad([])).toBeUndefined();
});

// Guards against sending requests to a different server that reuses the address.
test('a check distinguishes a replaced server from a full or unhealthy one', () => {
  const check = (status: number, headers: readonly string[]) =>
    protocol.classifyCheckReply(SERVER, status, headers).kind;
  expect(check(200, ['instance-id', 'i-1'])).toBe('ready');
  expect(check(200, ['instance-id', 'i-2'])).toBe('replaced');
  expect(check(503, ['instance-id', 'i-1'])).toBe('unhealthy');
  expect(check(503, ['not-executed', '1'])).toBe('full');
});

function signals(status: number, list: readonly string[]) {
  return protocol.readSignals(SERVER, status, list);
}

// Guards against a header of another writer that stops a server for good, or a daemon.
test.each([
  ['2', 2_000],
  ['0.25', 250],
  ['0', 0],
  ['-1', 0],
  ['1e3', 0],
  ['soon', 0],
  ['Fri, 04 Dec 2026 20:00:00 GMT', 0],
  ['9'.repeat(400), Number.POSITIVE_INFINITY],
])('a retry delay of %s is a pause of %d ms', (text, pauseMs) => {
  expect(signals(503, [...SIGNED, 'retry-after', text])).toMatchObject({ pauseMs });
  expect(signals(429, [...SIGNED, 'retry-after', text])).toMatchObject({ pauseMs: 0 });
});

test.each([
  ['7.5', 7.5],
  ['0', 0],
  ['-7', 'unknown'],
  ['many', 'unknown'],
  ['', 'unknown'],
])('a limit of %j is %j', (text, limit) => {
  expect(signals(200, [...SIGNED, 'server-limit', text])).toMatchObject({ limit });
});

// Guards against statements that are ignored without a trace for the operators.
test('statements that cannot be used are reported', () => {
  const list = [...SIGNED, 'server-limit', 'many', 'retry-after', 'soon'];
  const limit = 'server-limit: many';
  expect(signals(503, list)?.disregarded).toEqual([limit, 'retry-after: soon']);
  expect(signals(200, list)?.disregarded).toEqual([limit]);
  expect(signals(200, SIGNED)?.disregarded).toBeUndefined();
});

// Guards against a header that is read in another unit, or that stops a daemon.
test.each([
  ['1500', 1_500],
  ['2.5', 2.5],
  ['0', 0],
  ['1500ms', 1_500],
  ['2.5s', 2_500],
  ['-1', undefined],
  ['-1s', undefined],
  ['soon', undefined],
  ['', undefined],
  ['1e3', undefined],
  ['9'.repeat(400), undefined],
])('a remaining cold time of %j is %j ms, or reported as unusable', (text, coldMs) => {
  const header = ['warmup-remaining', text];
  const read = signals(200, ['instance-id', 'i-1', ...header]);
  expect(read).toMatchObject({ coldMs });
  const disregarded = coldMs === undefined ? [`warmup-remaining: ${text.slice(0, 40)}`] : undefined;
  expect(read?.disregarded).toEqual(disregarded);
  expect(signals(421, header)).toMatchObject({ coldMs: undefined });
  expect(signals(200, ['instance-id', 'i-2', ...header])).toBeUndefined();
});

// Guards against a garbled response, or one of another server, that ends a limit.
test('only a genuine response of the server tells that there is no limit', () => {
  expect(signals(200, SIGNED)).toMatchObject({ limit: 'none' });
  expect(signals(503, ['not-executed', '1'])).toMatchObject({ limit: 'none' });
  expect(signals(200, ['instance-id', 'i-1'])).toMatchObject({ limit: 'none' });
  expect(signals(500, [])).toMatchObject({ limit: 'unknown' });
  expect(signals(421, [...SIGNED, 'server-limit', '3'])).toMatchObject({ limit: 'unknown' });
  expect(signals(200, ['instance-id', 'i-2', 'server-leaving', '1'])).toBeUndefined();
});
