import type * as undici from 'undici';

import type * as callTypes from '../../common/call/Types';
import * as headers from './Headers';

const STATUS_UNAVAILABLE = 503;

/** Collects the answer of one exchange, and tells its listener how the attempt ended. */
export class AttemptHandler implements undici.Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];

  private readonly answerHeaders: string[] = [];

  private controller: undici.Dispatcher.DispatchController | undefined;

  private status = 0;

  private size = 0;

  private ended = false;

  public constructor(
    private readonly maxAnswerBytes: number,
    private readonly listener: callTypes.IAttemptListener,
    private readonly onRelease: (reusable: boolean) => void,
  ) {}

  public cancel(): void {
    if (this.ended) return;
    this.ended = true;
    this.controller?.abort(new Error('attempt cancelled'));
    this.onRelease(false);
  }

  public onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.ended) {
      controller.abort(new Error('attempt cancelled'));
      return;
    }
    this.controller = controller;
    this.listener.onSent();
  }

  public onResponseStart(
    _controller: undici.Dispatcher.DispatchController,
    statusCode: number,
    responseHeaders: Record<string, string | string[] | undefined>,
  ): void {
    if (statusCode < 200) return;
    this.status = statusCode;
    Object.entries(responseHeaders).forEach(([name, value]) => {
      [value ?? []].flat().forEach((single) => this.answerHeaders.push(name, single));
    });
  }

  public onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.ended) return;
    this.size += chunk.length;
    if (this.size <= this.maxAnswerBytes) {
      this.chunks.push(chunk);
      return;
    }
    const detail = `the answer exceeds ${this.maxAnswerBytes} bytes`;
    this.end({ kind: 'lost', reason: 'answer-too-large', detail }, false);
    controller.abort(new Error(detail));
  }

  public onResponseEnd(): void {
    if (this.ended) return;
    this.reportLoad();
    const body = this.chunks.length === 1 ? (this.chunks[0] as Buffer) : Buffer.concat(this.chunks);
    const refused =
      this.status === STATUS_UNAVAILABLE &&
      headers.find(this.answerHeaders, headers.REQUEST_OUTCOME) === 'not-run';
    if (refused) {
      const draining = headers.find(this.answerHeaders, headers.BACKEND_STATE) === 'draining';
      this.end({ kind: 'refused', draining }, true);
      return;
    }
    const answer = { status: this.status, headers: this.answerHeaders, body };
    this.end({ kind: 'answered', answer }, true);
  }

  public onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
    if (this.ended) return;
    if (this.controller === undefined) {
      this.end({ kind: 'not-sent', detail: error.message }, false);
      return;
    }
    const reason = this.status === 0 ? 'connection-lost' : 'answer-truncated';
    this.end({ kind: 'lost', reason, detail: error.message }, false);
  }

  private reportLoad(): void {
    const report = headers.readLoadReport(
      headers.find(this.answerHeaders, headers.LOAD_METRICS),
      headers.find(this.answerHeaders, headers.BACKEND_STATE),
    );
    if (report !== undefined) this.listener.onLoadReport(report);
  }

  private end(outcome: callTypes.AttemptOutcome, reusable: boolean): void {
    this.ended = true;
    this.onRelease(reusable);
    this.listener.onEnd(outcome);
  }
}
