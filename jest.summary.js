/** Prints one plain line with the totals, for tools that read the end of the output. */
module.exports = class SummaryReporter {
  onRunComplete(_contexts, results) {
    const failed = results.numFailedTests + results.numRuntimeErrorTestSuites;
    const line = `${results.numPassedTests} passed, ${failed} failed\n`;
    process.stdout.write(line);
  }
};
