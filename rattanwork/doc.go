// Package rattanwork defines the domain types of the dispatcher: jobs, routes,
// targets, task runs and the reports that targets send about their runs.
package rattanwork
