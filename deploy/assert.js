// Replaces `node:assert` in the bundle. For a failed assertion without a message, Node.js makes one
// from the source of the call, and parses the line that it stands on: in a minified bundle that is
// most of the program, and the process does nothing else for seconds.
const { createRequire } = require('node:module');

const assert = createRequire(__filename)('node:assert');

const DEFAULT_MESSAGE = 'assertion failed';

function ok(value, message) {
  assert.ok(value, message ?? DEFAULT_MESSAGE);
}

const replacement = Object.assign((value, message) => ok(value, message), assert, { ok });

module.exports = Object.assign(replacement, { strict: replacement });
