// Package rattanload decides what follows from the loads of homes: the parts of
// quotas, the lenders of slots and the pool of a new key. It is pure: the
// present time is an argument.
package rattanload
