module.exports = {
  testEnvironment: 'node',
  reporters: ['default', '<rootDir>/jest.summary.js'],
  roots: ['<rootDir>/src', '<rootDir>/spec', '<rootDir>/bench'],
  testMatch: ['**/*.test.ts'],
  // Dynamic imports name the compiled file.
  moduleNameMapper: { '^(\\.{1,2}/.*)\\.js$': '$1' },
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      {
        jsc: { parser: { syntax: 'typescript' }, target: 'es2022' },
        module: { type: 'commonjs', noInterop: true },
      },
    ],
  },
};
