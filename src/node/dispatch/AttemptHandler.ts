import type * as undici from 'undici';

import type * as callTypes from '../../common/call/Types';
import type * as policyTypes from '../../common/policy/Types';
import * as headers from './Headers';

const STATUS_UNAVAILABLE = 503;
const BODYLESS_STATUSES = new Set([204, 304]);

/** What one exchange reports. */
export interface IExchangeListener {
  /** The first byte may leave after this call. */
  onSent(): void;
  /** A part of the answer arrived. */
  onProgress(): void;
  onLoadReport(report: policyTypes.ILoadReport): void;
  /** Called exactly once, unless the exchange was aborted. */
  onEnd(outcome: callTypes.AttemptOutcome): void;
}

/** Collects the answer of one exchange, and accepts it only if it is complete. */
export class AttemptHandler implements undici.Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];

  private answerHeaders: string[] = [];

  private controller: undici.Dispatcher.DispatchController | undefined;

  private status = 0;

  private size = 0;

  private ended = false;

  public constructor(
    private readonly call: Pick<callTypes.ICall, 'method' | 'requestId'>,
    private readonly maxAnswerBytes: number,
    private readonly listener: IExchangeListener,
  ) {}

  /** Ends the exchange. No event follows. */
  public abort(): void {
    if (this.ended) return;
    this.ended = true;
    this.controller?.abort(new Error('attempt cancelled'));
  }

  public onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // undici starts a request again when it believes that the first start had no effect.
    if (this.ended || this.controller !== undefined) {
      controller.abort(new Error('the request may not be sent again'));
      return;
    }
    this.controller = controller;
    this.listener.onSent();
  }

  public onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    statusCode: number,
  ): void {
    if (this.ended) return;
    this.listener.onProgress();
    if (statusCode < 200) return;
    this.status = statusCode;
    this.answerHeaders = headers.decodeRaw((controller.rawHeaders ?? []) as Buffer[]);
    const declared = Number(headers.find(this.answerHeaders, 'content-length') ?? 0);
    if (this.hasBody() && declared > this.maxAnswerBytes) this.refuseSize(controller);
    else if (!this.isFramed()) this.refuseFraming(controller);
  }

  public onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.ended) return;
    this.listener.onProgress();
    this.size += chunk.length;
    if (this.size <= this.maxAnswerBytes) this.chunks.push(chunk);
    else this.refuseSize(controller);
  }

  public onResponseEnd(): void {
    if (this.ended) return;
    this.reportLoad();
    const body = this.chunks.length === 1 ? (this.chunks[0] as Buffer) : Buffer.concat(this.chunks);
    if (this.isRefusal()) {
      const draining = headers.find(this.answerHeaders, headers.BACKEND_STATE) === 'draining';
      this.end({ kind: 'refused', draining });
      return;
    }
    const answer = { status: this.status, headers: this.answerHeaders, body };
    this.end({ kind: 'answered', answer });
  }

  public onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
    if (this.ended) return;
    if (this.controller === undefined) {
      this.end({ kind: 'not-sent', detail: error.message });
      return;
    }
    const reason = this.status === 0 ? 'connection-lost' : 'answer-truncated';
    this.end({ kind: 'lost', reason, detail: error.message });
  }

  private hasBody(): boolean {
    return this.call.method !== 'HEAD' && !BODYLESS_STATUSES.has(this.status);
  }

  /** Whether the end of the answer is marked, so that a truncated answer can be recognised. */
  private isFramed(): boolean {
    if (!this.hasBody()) return true;
    if (headers.find(this.answerHeaders, 'content-length') !== undefined) return true;
    const encoding = headers.find(this.answerHeaders, 'transfer-encoding') ?? '';
    return /^\s*chunked\s*$/i.test(encoding);
  }

  /**
   * A refusal that a daemon deeper in the call tree sent, and that the server passed on, carries
   * the request id of that daemon. It does not say that this server ran nothing.
   */
  private isRefusal(): boolean {
    if (this.status !== STATUS_UNAVAILABLE) return false;
    if (headers.find(this.answerHeaders, headers.REQUEST_OUTCOME) !== 'not-run') return false;
    const requestId = headers.find(this.answerHeaders, headers.REQUEST_ID);
    return requestId === undefined || requestId === this.call.requestId;
  }

  private refuseSize(controller: undici.Dispatcher.DispatchController): void {
    const detail = `the answer exceeds ${this.maxAnswerBytes} bytes`;
    this.end({ kind: 'lost', reason: 'answer-too-large', detail });
    controller.abort(new Error(detail));
  }

  private refuseFraming(controller: undici.Dispatcher.DispatchController): void {
    const detail = 'the answer has neither a length nor chunks';
    this.end({ kind: 'lost', reason: 'answer-unframed', detail });
    controller.abort(new Error(detail));
  }

  private reportLoad(): void {
    const report = headers.readLoadReport(
      headers.find(this.answerHeaders, headers.LOAD_METRICS),
      headers.find(this.answerHeaders, headers.BACKEND_STATE),
    );
    if (report !== undefined) this.listener.onLoadReport(report);
  }

  private end(outcome: callTypes.AttemptOutcome): void {
    this.ended = true;
    this.listener.onEnd(outcome);
  }
}
