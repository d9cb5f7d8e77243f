import type * as undici from 'undici';

import * as statuses from '../../common/call/Statuses';
import type * as callTypes from '../../common/call/Types';
import * as linkPace from '../../common/transfer/LinkPace';
import type * as types from '../../common/Types';
import * as bodyBuffer from '../BodyBuffer';
import type * as connections from './Connection';
import * as headers from './Headers';
import type * as dispatchTypes from './Types';

const BODYLESS_STATUSES = new Set([204, 304]);

/** Buffers the response of one exchange, and accepts it only if it is complete. */
export class AttemptHandler implements undici.Dispatcher.DispatchHandler {
  private readonly body: bodyBuffer.BodyBuffer;

  private responseHeaders: string[] = [];

  private controller: undici.Dispatcher.DispatchController | undefined;

  private status = 0;

  /** Pause in reading a large answer. */
  private pause: types.IDisposable | undefined;

  private ended = false;

  public constructor(
    private readonly request: dispatchTypes.IExchangeRequest,
    private readonly connection: Pick<
      connections.Connection,
      'endedGracefully' | 'exchangeCount' | 'recordBody'
    >,
    private readonly listener: dispatchTypes.IExchangeListener,
  ) {
    this.body = new bodyBuffer.BodyBuffer(request.maxAnswerBytes, () =>
      request.reserveAnswer(() => this.endForRoom()),
    );
  }

  /** Aborts the exchange. No event follows. */
  public abort(): void {
    if (this.ended) return;
    this.ended = true;
    this.pause?.dispose();
    this.body.clear();
    this.controller?.abort(new Error('attempt cancelled'));
  }

  public onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // undici retries a request if it assumes that the first attempt had no effect.
    if (this.ended || this.controller !== undefined) {
      controller.abort(new Error('the request may not be sent again'));
      return;
    }
    if (!this.listener.mayStart()) {
      this.ended = true;
      const detail = 'the server wants no more requests';
      controller.abort(new Error(detail));
      this.listener.onEnd({ kind: 'not-sent', reason: 'unwanted', detail });
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
    if (statuses.isInformational(statusCode)) return;
    if (!statuses.isFinal(statusCode)) {
      this.rejectStatus(controller, statusCode);
      return;
    }
    this.status = statusCode;
    this.responseHeaders = headers.decodeRaw((controller.rawHeaders ?? []) as Buffer[]);
    this.request.onHead(statusCode, this.responseHeaders);
    const declared = Number(headers.find(this.responseHeaders, 'content-length') ?? 0);
    if (this.hasBody() && declared > this.request.maxAnswerBytes) this.rejectOversized(controller);
    else if (!this.isFramed() && !this.request.allowsCloseDelimitedBody)
      this.rejectUnframed(controller);
  }

  public onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.ended) return;
    this.listener.onProgress();
    this.connection.recordBody(chunk.length);
    if (this.body.size + chunk.length > this.request.maxAnswerBytes)
      this.rejectOversized(controller);
    else if (!this.body.add(chunk)) this.endForRoom();
    else if (this.body.size > linkPace.SMALL_BODY_BYTES) this.paceReading(controller, chunk.length);
  }

  public onResponseEnd(): void {
    if (this.ended) return;
    // undici reports a connection reset as the regular end of a close-delimited response.
    if (!this.isFramed() && !this.connection.endedGracefully) {
      const detail = 'the connection of an answer without a length was not closed in order';
      this.end({ kind: 'lost', reason: 'answer-truncated', detail });
      return;
    }
    this.reportLoad();
    const isReused = this.connection.exchangeCount > 1;
    const classification = this.request.classify(this.status, this.responseHeaders, isReused);
    if (classification.kind === 'refused') {
      this.end({ kind: 'refused', draining: classification.draining });
    } else if (classification.kind === 'invalid') {
      this.end({ kind: 'lost', reason: 'answer-invalid', detail: classification.detail });
    } else {
      const { status, responseHeaders } = this;
      const body = this.body.toBytes();
      const { isFailure } = classification;
      this.end({ kind: 'answered', answer: { status, headers: responseHeaders, body, isFailure } });
    }
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

  private paceReading(controller: undici.Dispatcher.DispatchController, bytes: number): void {
    this.pause = this.request.pauseAfter(bytes, () => controller.resume());
    if (this.pause !== undefined) controller.pause();
  }

  private hasBody(): boolean {
    return this.request.method !== 'HEAD' && !BODYLESS_STATUSES.has(this.status);
  }

  /** Whether the response is length-delimited or chunked, so that truncation can be detected. */
  private isFramed(): boolean {
    if (!this.hasBody()) return true;
    if (headers.find(this.responseHeaders, 'content-length') !== undefined) return true;
    const encoding = headers.find(this.responseHeaders, 'transfer-encoding') ?? '';
    return /^\s*chunked\s*$/i.test(encoding);
  }

  private rejectOversized(controller: undici.Dispatcher.DispatchController): void {
    const detail = `the answer exceeds ${this.request.maxAnswerBytes} bytes`;
    this.end({ kind: 'lost', reason: 'answer-too-large', detail });
    controller.abort(new Error(detail));
  }

  private rejectUnframed(controller: undici.Dispatcher.DispatchController): void {
    const detail = 'the answer has neither a length nor chunks';
    this.end({ kind: 'lost', reason: 'answer-unframed', detail });
    controller.abort(new Error(detail));
  }

  /** undici takes any three digits for a status. */
  private rejectStatus(controller: undici.Dispatcher.DispatchController, status: number): void {
    const detail = `the answer has the status ${status}`;
    this.end({ kind: 'lost', reason: 'answer-invalid', detail });
    controller.abort(new Error(detail));
  }

  private reportLoad(): void {
    const report = this.request.readLoad(this.responseHeaders);
    if (report !== undefined) this.listener.onLoadReport(report);
  }

  /** Ends the attempt because the budget of the daemon has no room for the answer. */
  private endForRoom(): void {
    if (this.ended) return;
    const detail = 'the daemon holds too many bytes of answers';
    this.end({ kind: 'lost', reason: 'answer-too-large', detail });
    this.controller?.abort(new Error(detail));
  }

  private end(outcome: callTypes.AttemptOutcome): void {
    this.ended = true;
    this.pause?.dispose();
    this.body.clear();
    this.listener.onEnd(outcome);
  }
}
