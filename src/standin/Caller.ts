import * as undici from 'undici';

import * as answers from './Answers';
import * as backendServer from './BackendServer';

/** A request that a test submits. */
export interface ITestRequest {
  readonly service: string;
  /** Identifies the request at the backend servers, across all its submissions. */
  readonly identity: string;
  readonly timeoutMs?: number;
  readonly requestKey?: string;
  /** Whether the request crashes each server that runs it. */
  readonly crashes?: boolean;
}

/** Result of one submission of a request, as the caller saw it. */
export interface ISubmission {
  readonly identity: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown';
  /**
   * Kind of the refusal; `daemon-unreachable` if no connection could be opened; `daemon-lost` if no
   * complete response followed; empty if answered.
   */
  readonly reason: string;
  readonly status: number;
  /**
   * False if an answer with status 200 was incomplete or belonged to another request, or if a
   * response stated no valid outcome.
   */
  readonly correct: boolean;
  readonly latencyMs: number;
  /** Time at which it ended, on the clock of `performance`. */
  readonly endMs: number;
  readonly timeoutMs: number | undefined;
  /** URL of the daemon. */
  readonly daemon: string;
}

const CALLER_TIMEOUT_MS = 60_000;

/** Returns the request body for an identity. */
export function bodyOf(identity: string): Buffer {
  return Buffer.from(`body of ${identity}`);
}

/** Submits requests and checks each answer. */
export class Caller {
  /** Submissions that have ended, in order of their end. */
  public readonly submissions: ISubmission[] = [];

  private readonly agent = new undici.Agent({ pipelining: 1, connect: { timeout: 2_000 } });

  /** Submits `request` to the daemon at `url`. Never rejects. */
  public async submit(url: string, request: ITestRequest): Promise<ISubmission> {
    const startMs = performance.now();
    const outcome = await this.send(url, request);
    const endMs = performance.now();
    const submission = {
      identity: request.identity,
      ...outcome,
      latencyMs: endMs - startMs,
      endMs,
      timeoutMs: request.timeoutMs,
      daemon: url,
    };
    this.submissions.push(submission);
    return submission;
  }

  public async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    url: string,
    request: ITestRequest,
  ): Promise<Pick<ISubmission, 'outcome' | 'reason' | 'status' | 'correct'>> {
    const { service, identity, timeoutMs, requestKey, crashes } = request;
    try {
      const reply = await undici.request(`${url}/${service}/documents`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: {
          [backendServer.IDENTITY_HEADER]: identity,
          ...(timeoutMs === undefined ? {} : { 'request-timeout-ms': `${timeoutMs}` }),
          ...(requestKey === undefined ? {} : { 'idempotency-key': requestKey }),
          ...(crashes === true ? { [backendServer.CRASH_HEADER]: 'yes' } : {}),
        },
        body: bodyOf(identity),
        headersTimeout: CALLER_TIMEOUT_MS,
        bodyTimeout: CALLER_TIMEOUT_MS,
      });
      return Caller.classify(reply.statusCode, reply.headers, await reply.body.text(), identity);
    } catch (error) {
      const connectErrors = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'];
      const reason = connectErrors.includes((error as { code?: string }).code ?? '')
        ? 'daemon-unreachable'
        : 'daemon-lost';
      return { outcome: 'unknown', reason, status: 0, correct: true };
    }
  }

  private static classify(
    status: number,
    headers: Record<string, string | string[] | undefined>,
    text: string,
    identity: string,
  ): Pick<ISubmission, 'outcome' | 'reason' | 'status' | 'correct'> {
    const outcome = headers['request-outcome'];
    if (outcome === 'answered') {
      const complete = answers.isAnswerTo(text, identity, bodyOf(identity));
      return { outcome, reason: '', status, correct: status !== 200 || complete };
    }
    const { kind = '' } = JSON.parse(text) as { kind?: string };
    const known = outcome === 'not-run' || outcome === 'unknown';
    if (!known) return { outcome: 'unknown', reason: kind, status, correct: false };
    return { outcome, reason: kind, status, correct: true };
  }
}
