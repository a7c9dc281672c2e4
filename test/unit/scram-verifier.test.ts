import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { SCRAM_VERIFIER_PATTERN } from '../../src/core/configuration/declaration.js';
import { createScramVerifier, matchesScramVerifier } from '../../src/postgres/scram-verifier.js';

test('the verifier agrees with the example exchange of RFC 7677', () => {
  // User "user", password "pencil"; the RFC's server signature follows from the server key.
  const salt = Buffer.from('W22ZaJ0SNY7soEsUEjb6gQ==', 'base64');
  const verifier = createScramVerifier('pencil', salt, 4096);
  assert.is(
    verifier,
    'SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$' +
      'WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=',
  );
});

test('a verifier has the format of the declarations, and its own salt', () => {
  const verifier = createScramVerifier('secret');
  assert.match(verifier, SCRAM_VERIFIER_PATTERN);
  assert.is.not(verifier, createScramVerifier('secret'));
  assert.ok(matchesScramVerifier('secret', verifier));
  assert.not(matchesScramVerifier('Secret', verifier));
  assert.not(matchesScramVerifier('secret', 'SCRAM-SHA-256$4096:x'));
});

test.run();
