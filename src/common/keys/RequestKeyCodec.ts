import * as crypto from 'node:crypto';

import type * as types from '../Types';
import type * as keyTypes from './Types';

const VERSION = '1';
const SEPARATOR = '.';
const PART_COUNT = 6;
const RADIX = 36;
const MAX_TEXT_LENGTH = 256;
/** 128 bits cannot be guessed within the lifetime of a key. */
const CODE_BYTES = 16;
/** `host:port`, with an IPv6 host in brackets. */
const ADDRESS = /^(?:[A-Za-z0-9.-]{1,64}|\[[0-9A-Fa-f:.]{2,45}\]):[1-9]\d{0,4}$/;
const ISSUER_SEPARATOR = '#';

/** Reason for which a text is not a valid request key. */
export type KeySyntaxError =
  { readonly kind: 'unknown-version' } | { readonly kind: 'malformed-key' };

type KeyContent = Omit<keyTypes.IRequestKey, 'code'>;

function parseNumber(text: string): number {
  return Number.parseInt(text, RADIX);
}

function textWithoutCode(key: KeyContent): string {
  const issuer = Buffer.from(key.issuer, 'utf8').toString('base64url');
  const numbers = [key.incarnation, key.sequence, key.issuedAtMs].map((n) => n.toString(RADIX));
  return [VERSION, issuer, ...numbers].join(SEPARATOR);
}

function encode(key: keyTypes.IRequestKey): string {
  return `${textWithoutCode(key)}${SEPARATOR}${key.code}`;
}

/** Encodes request keys as text in the unreserved characters of URLs (RFC 3986). */
export class RequestKeyCodec {
  /** Adds the authentication code to `content`. */
  public static sign(content: KeyContent, secret: Uint8Array): keyTypes.IRequestKey {
    return { ...content, code: RequestKeyCodec.codeOf(content, secret) };
  }

  public static encode(key: keyTypes.IRequestKey): string {
    return encode(key);
  }

  /**
   * Decodes the text of a key without verifying its authentication code. Accepts only the canonical
   * text that `encode` returns, so that each key has exactly one text.
   */
  public static decode(text: string): types.Result<keyTypes.IRequestKey, KeySyntaxError> {
    const malformed = { ok: false, error: { kind: 'malformed-key' } } as const;
    if (text.length > MAX_TEXT_LENGTH) return malformed;
    const parts = text.split(SEPARATOR);
    const [version, issuer, incarnation, sequence, issuedAt, code] = parts;
    if (version !== VERSION) {
      const isVersion = /^\d{1,3}$/.test(version ?? '') && parts.length > 1;
      return isVersion ? { ok: false, error: { kind: 'unknown-version' } } : malformed;
    }
    if (parts.length !== PART_COUNT) return malformed;
    const key = {
      issuer: Buffer.from(issuer ?? '', 'base64url').toString('utf8'),
      incarnation: parseNumber(incarnation ?? ''),
      sequence: parseNumber(sequence ?? ''),
      issuedAtMs: parseNumber(issuedAt ?? ''),
      code: code ?? '',
    };
    const numbers = [key.incarnation, key.sequence, key.issuedAtMs];
    const isValid =
      ADDRESS.test(key.issuer) &&
      numbers.every((value) => Number.isSafeInteger(value) && value >= 0) &&
      Buffer.from(key.code, 'base64url').length === CODE_BYTES &&
      Buffer.from(key.code, 'base64url').toString('base64url') === key.code &&
      encode(key) === text;
    return isValid ? { ok: true, value: key } : malformed;
  }

  /** Whether the holder of `secret` issued `key`. Compares in constant time. */
  public static verify(key: keyTypes.IRequestKey, secret: Uint8Array): boolean {
    const expected = Buffer.from(RequestKeyCodec.codeOf(key, secret), 'base64url');
    const found = Buffer.from(key.code, 'base64url');
    return found.length === expected.length && crypto.timingSafeEqual(found, expected);
  }

  /** Returns the name of an issuing process in messages and facts: `address#incarnation`. */
  public static encodeIssuer(issuer: keyTypes.IKeyIssuer): string {
    return `${issuer.address}${ISSUER_SEPARATOR}${issuer.incarnation.toString(RADIX)}`;
  }

  /** Decodes the name of an issuing process. Returns undefined if it is malformed. */
  public static decodeIssuer(text: string): keyTypes.IKeyIssuer | undefined {
    const [address, incarnation] = text.split(ISSUER_SEPARATOR);
    if (address === undefined || incarnation === undefined) return undefined;
    const issuer = { address, incarnation: parseNumber(incarnation) };
    const isValid =
      ADDRESS.test(address) &&
      Number.isSafeInteger(issuer.incarnation) &&
      issuer.incarnation >= 0 &&
      RequestKeyCodec.encodeIssuer(issuer) === text;
    return isValid ? issuer : undefined;
  }

  private static codeOf(content: KeyContent, secret: Uint8Array): string {
    const hmac = crypto.createHmac('sha256', secret).update(textWithoutCode(content));
    return hmac.digest().subarray(0, CODE_BYTES).toString('base64url');
  }
}
