// Package rattanwork holds the types of the dispatcher's domain: jobs, routes,
// targets, runs of tasks, and what targets report of them.
package rattanwork
