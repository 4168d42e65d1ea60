// Package rwload offers load to ragwortwall and checks what comes back: each
// answer is compared, token by token, with what the stand-in engine's model
// gives for its prompt and version.
package rwload
